"""Runs the gateway process on one VM of the hosting platform."""

import asyncio
import gc
import os
import signal
import sys
from functools import partial
from random import Random
from typing import Any, Final, NoReturn

import uvloop

from ..gateway.clock import now_ms
from ..operations.events import EventLog, open_output
from .node import Node
from .settings_file import SettingsError, SettingsFile

__all__ = ('main',)

#: Environment variable with the path of the settings file, and the default.
_PATH_VARIABLE: Final = 'DANDELIONSTAGE_BOOT'
_DEFAULT_PATH: Final = '/etc/dandelionstage/boot.yaml'
_USAGE: Final = """usage: python3 -m dandelionstage.platform.main

Serves callers on one VM until SIGTERM; SIGHUP reloads the settings.
DANDELIONSTAGE_BOOT is the path of the settings file, a JSON file that the
platform fills in from the template deploy/boot.json.  Logs go to standard
output.  Exit codes: 0 stopped; 2 invalid settings or arguments.
"""
#: Exit code for invalid settings or arguments.
_EXIT_INVALID: Final = 2
#: Allocations between garbage collections of the youngest generation.
#: Served requests create no reference cycles, so the threshold only bounds
#: the number of objects that failures leave behind.
_GC_THRESHOLD: Final = 5_000


def main() -> None:
    """Read the settings, then serve until a stop signal."""
    if len(sys.argv) > 1:
        _exit_with_usage(sys.argv[1:])
    try:
        settings_file = SettingsFile(
            os.environ.get(_PATH_VARIABLE, _DEFAULT_PATH)
        )
    except SettingsError as fault:
        sys.stderr.write('invalid settings: {0}\n'.format(fault))
        sys.exit(_EXIT_INVALID)
    vm = settings_file.settings.node_name
    log = EventLog(open_output(), now_ms, vm=vm)
    node = Node(settings_file, log, Random())
    # Objects created so far live as long as the process; freezing them
    # excludes them from later collections.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    uvloop.run(_serve(node, log))


def _exit_with_usage(arguments: list[str]) -> NoReturn:
    """Print the usage or the unknown arguments, then exit."""
    if arguments in (['-h'], ['--help']):
        sys.stdout.write(_USAGE)
        sys.exit()
    sys.stderr.write('unknown arguments: {0}\n'.format(' '.join(arguments)))
    sys.exit(_EXIT_INVALID)


def _log_callback_error(
    log: EventLog, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log an error in a callback, which costs one connection or message."""
    log.event(
        'callback_failed',
        fault=repr(context.get('exception') or context.get('message')),
        source=repr(context.get('protocol') or context.get('handle')),
    )


async def _serve(node: Node, log: EventLog) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(partial(_log_callback_error, log))
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGINT, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    async with node:
        await node.wait_stopped()


if __name__ == '__main__':
    main()
