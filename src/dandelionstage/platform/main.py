"""Runs the gateway on one VM of the users' platform."""

import asyncio
import gc
import os
import signal
import sys
from random import Random
from typing import Final, NoReturn

import uvloop

from ..gateway.clock import now_ms
from ..operations.events import EventLog, open_output
from .node import Node
from .settings import SettingsError, read_settings, settings_path

__all__ = ('main',)

#: The process was told something that cannot be served.
_EXIT_SETTINGS: Final = 2
#: Objects made before young ones are looked at for cycles; served requests
#: leave none, so this bounds what failures leave.
_YOUNG_OBJECTS: Final = 5_000


def main() -> None:
    """Read the settings, then serve until told to stop."""
    path = settings_path()
    try:
        settings = read_settings(path)
    except SettingsError as fault:
        _refuse(str(fault))
    log = EventLog(open_output(), now_ms, vm=settings.node_name)
    node = Node(settings, path, log, Random())
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS)
    uvloop.run(_serve(node))


async def _serve(node: Node) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGINT, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    async with node:
        await node.stopped()


def _refuse(fault: str) -> NoReturn:
    os.write(sys.stderr.fileno(), 'bad settings: {0}\n'.format(fault).encode())
    raise SystemExit(_EXIT_SETTINGS)


if __name__ == '__main__':
    main()
