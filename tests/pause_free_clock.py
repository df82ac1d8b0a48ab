"""A monotonic clock that does not count pauses of the process."""

import time
from collections.abc import Callable
from typing import Final, final

__all__ = ('MAX_IDLE_S', 'PauseFreeClock')

#: Longest time between two readings in which the process neither uses the
#: processor nor is paused.  An event loop with work to do reads its clock more
#: often.
MAX_IDLE_S: Final = 0.1


@final
class PauseFreeClock:
    """Leaves out the time in which the process was not scheduled.

    Load pattern: VMs and stand-ins share one process, which the machine pauses
    for seconds.  Afterwards all timers of that time are due at once, whatever
    was to happen between them, so that a stand-in acts later than it should.
    Time in which the process computes is counted: it may be the fault that a
    test looks for.
    """

    def __init__(
        self,
        monotonic_s: Callable[[], float] = time.monotonic,
        processor_s: Callable[[], float] = time.process_time,
    ) -> None:
        """Create a clock that agrees with the monotonic clock.

        :param monotonic_s: clock to correct, in s.
        :param processor_s: processor time used by the process, in s.
        """
        self._monotonic_s = monotonic_s
        self._processor_s = processor_s
        self._read_s = monotonic_s()
        self._used_s = processor_s()
        self._paused_s = 0.0

    def __call__(self) -> float:
        """Return the time in s."""
        read_s = self._monotonic_s()
        used_s = self._processor_s()
        idle_s = read_s - self._read_s - (used_s - self._used_s)
        self._paused_s += max(0, idle_s - MAX_IDLE_S)
        self._read_s = read_s
        self._used_s = used_s
        return read_s - self._paused_s
