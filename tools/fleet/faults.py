"""What can befall a process."""

import signal
from typing import Final

from .processes import Process

__all__ = ('freeze', 'kill', 'stop', 'wake')

_KILL_S: Final = 5.0
_STOP_S: Final = 35.0


def kill(process: Process) -> None:
    """End a process without warning, and wait until it is gone."""
    process.signal(signal.SIGKILL)
    process.wait(_KILL_S)


def freeze(process: Process) -> None:
    """Pause a process; its sockets stay open."""
    process.signal(signal.SIGSTOP)


def wake(process: Process) -> None:
    """Let a frozen process go on."""
    process.signal(signal.SIGCONT)


def stop(process: Process, timeout_s: float = _STOP_S) -> int:
    """Ask a process to stop in its own time.

    :returns: its exit code.
    """
    process.signal(signal.SIGTERM)
    return process.wait(timeout_s)
