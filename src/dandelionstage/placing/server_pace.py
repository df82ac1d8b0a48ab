"""How fast one server works, and how that changes with the work it has.

Load pattern: servers of one service differ in speed, some slow down long before
all of their slots are taken, and both change with what else runs on their
machines.  Single answers tell little, as requests differ in work more than
servers do in speed.
"""

import math
from typing import Final, final

__all__ = ('ServerPace',)

#: Number of answers that the assumption of a usual server weighs at first, and
#: the least weight of an answer: about two seconds at five answers a second.
_PRIOR_ANSWERS: Final = 4.0
_LEAST_WEIGHT: Final = 0.1
#: Weight of an answer for the slow-down, which needs more of them.
_CROWDING_WEIGHT: Final = 0.1
#: What was learned of a server that is not used fades with this half-life.
_HALF_LIFE_MS: Final = 10_000.0
#: An answer counts at most as this many times slower or faster; failures and
#: pauses are the concern of other estimates.
_MAX_RATIO: Final = 3.0
#: By how much longer a request takes with all slots taken than alone, as a
#: fraction: assumed at first, and the most that is learned.
_USUAL_CROWDING: Final = 1.0
_MAX_CROWDING: Final = 3.0


@final
class ServerPace:
    """Expected time of a request at one server, relative to the usual time.

    The time grows evenly with the requests at work until all slots are taken,
    and then in proportion to the requests.
    """

    __slots__ = (
        '_answers',
        '_crowding',
        '_log_pace',
        '_observed_ms',
        '_slots',
    )

    def __init__(self, slots: int) -> None:
        """Assume a usual server.

        :param slots: requests that it processes concurrently.
        """
        self._slots = max(1, slots)
        self._log_pace: float = 0
        self._crowding = _USUAL_CROWDING
        self._answers: float = 0
        self._observed_ms: float = 0

    def expected(self, at_work: int, now_ms: float) -> float:
        """Return the expected time, as a multiple of the usual one.

        :param at_work: requests of this VM at the server, the next included.
        """
        pace = math.exp(self._log_pace * self._kept(now_ms))
        return pace * self._slow_down(at_work)

    def observe(self, ratio: float, at_work: int, now_ms: float) -> None:
        """Record the time of an answer, as a multiple of the usual one.

        :param at_work: requests of this VM at the server when it was sent.
        """
        kept = self._kept(now_ms)
        self._answers = self._answers * kept + 1
        self._log_pace *= kept
        self._observed_ms = now_ms
        bounded = min(_MAX_RATIO, max(1 / _MAX_RATIO, ratio))
        error = math.log(bounded / self._slow_down(at_work)) - self._log_pace
        weight = max(_LEAST_WEIGHT, 1 / (self._answers + _PRIOR_ANSWERS))
        taken = self._taken(at_work)
        if taken:
            self._crowding = min(
                _MAX_CROWDING,
                max(0, self._crowding + _CROWDING_WEIGHT * error * taken),
            )
        else:
            self._log_pace += weight * error

    def _slow_down(self, at_work: int) -> float:
        waiting = max(1, at_work / self._slots)
        return waiting * (1 + self._crowding * self._taken(at_work))

    def _taken(self, at_work: int) -> float:
        """Return the fraction of the slots besides its own that are taken."""
        others = self._slots - 1
        return min(1, (at_work - 1) / others) if others else 0

    def _kept(self, now_ms: float) -> float:
        return math.exp2((self._observed_ms - now_ms) / _HALF_LIFE_MS)
