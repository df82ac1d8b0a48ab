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
from .settings_file import SettingsError, SettingsFile

__all__ = ('main',)

#: Where the platform says the settings file lies, and where it lies
#: otherwise.
_PATH_VARIABLE: Final = 'DANDELIONSTAGE_BOOT'
_DEFAULT_PATH: Final = '/etc/dandelionstage/boot.yaml'
_USAGE: Final = """usage: python3 -m dandelionstage.platform.main

Serves callers on one VM until SIGTERM; SIGHUP reads the settings again.
The settings file, JSON as deploy/boot.json has the platform fill it in, is
named by DANDELIONSTAGE_BOOT.  Logs go to standard output.  Exit codes: 0
stopped; 2 bad settings or arguments.
"""
#: The process was told something that cannot be served.
_EXIT_SETTINGS: Final = 2
#: Objects made before young ones are looked at for cycles; served requests
#: leave none, so this bounds what failures leave.
_YOUNG_OBJECTS: Final = 5_000


def main() -> None:
    """Read the settings, then serve until told to stop."""
    if len(sys.argv) > 1:
        _explain_usage(sys.argv[1:])
    try:
        settings_file = SettingsFile(
            os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH)
        )
    except SettingsError as fault:
        sys.stderr.write('bad settings: {0}\n'.format(fault))
        sys.exit(_EXIT_SETTINGS)
    vm = settings_file.settings.node_name
    log = EventLog(open_output(), now_ms, vm=vm)
    node = Node(settings_file, log, Random())
    # What was made until now stays; collections need not look at it.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS)
    uvloop.run(_serve(node))


def _explain_usage(arguments: list[str]) -> NoReturn:
    """Say how the process is started; it takes no arguments."""
    if arguments in (['-h'], ['--help']):
        sys.stdout.write(_USAGE)
        sys.exit()
    sys.stderr.write('unknown arguments: {0}\n'.format(' '.join(arguments)))
    sys.exit(_EXIT_SETTINGS)


async def _serve(node: Node) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGINT, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    async with node:
        await node.wait_stopped()


if __name__ == '__main__':
    main()
