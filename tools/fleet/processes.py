"""One child process, and what may be done to it."""

import os
import signal
import subprocess  # noqa: S404 -- tools start the processes under test
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final, final

__all__ = ('FleetError', 'Process', 'wait_until')

_ROOT: Final = Path(__file__).parent.parent.parent
_POLL_S: Final = 0.05
_END_S: Final = 3.0
_TAIL_CHARACTERS: Final = 2000


@final
class FleetError(Exception):
    """A process did not do what was asked of it in time."""


@final
class Process:
    """A child process that can be ended, frozen and started again.

    :ivar name: as the fleet calls it.
    :ivar log: what the process writes, over all its starts.
    """

    def __init__(self, name: str, log: Path, *command: str) -> None:
        """Describe the process without starting it.

        :param command: a module to run, and its options.
        """
        self.name = name
        self.log = log
        self._command = (sys.executable, '-m', *command)
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def pid(self) -> int:
        """The process id of the last start."""
        if self._child is None:
            raise FleetError('{0} was never started'.format(self.name))
        return self._child.pid

    def start(self) -> None:
        """Start the process, again if it has ended."""
        if self.running:
            raise FleetError('{0} is running already'.format(self.name))
        with self.log.open('ab') as output:
            self._child = subprocess.Popen(
                self._command,
                cwd=_ROOT,
                env={**os.environ, 'PYTHONPATH': 'src:.'},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self._child is not None:
            self._child.send_signal(number)

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to end.

        :returns: its exit code, negative if a signal ended it.
        """
        wait_until(lambda: not self.running, self, timeout_s, may_end=True)
        return self._child.returncode if self._child else 0

    def end(self) -> None:
        """End the process at once, also a frozen one."""
        if self.running:
            self.signal(signal.SIGKILL)
            self.wait(_END_S)


def wait_until(
    check: Callable[[], bool],
    process: Process,
    timeout_s: float,
    *,
    may_end: bool = False,
) -> None:
    """Poll until a check passes.

    :param may_end: whether the process may end meanwhile.
    :raises FleetError: with the end of the log, when the check did not pass
        in time or the process ended.
    """
    deadline_s = time.monotonic() + timeout_s
    while not check():
        if not (may_end or process.running):
            raise _fault(process, 'ended early')
        if time.monotonic() > deadline_s:
            raise _fault(process, 'took over {0} s'.format(timeout_s))
        time.sleep(_POLL_S)


def _fault(process: Process, problem: str) -> FleetError:
    tail = process.log.read_text(errors='replace')[-_TAIL_CHARACTERS:]
    return FleetError('{0} {1}\n{2}'.format(process.name, problem, tail))
