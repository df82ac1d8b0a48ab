"""Estimates of how long a request waits at a backend server before it runs.

Load pattern: callers come at several times the calm rate, so that requests
queue at most servers at once.  Many VMs share a server's few slots, and each
sees only a part of its requests, but every answer tells how long the queue was
that it passed.
"""

from collections import OrderedDict
from typing import Final, final

__all__ = ('BaseTime', 'BaseTimes', 'QueueDelay')

#: Weight of the newest answer.
_WEIGHT: Final = 0.4
#: Without news, an estimate falls by this many ms in each ms: a queue drains
#: while it is not joined, but other VMs join it.
_DRAIN_RATE: Final = 0.1
#: Weight of an answer that is faster than the base time, and the fraction by
#: which the base time rises in a second, so that it stays near the times of an
#: idle server during an overload and follows a lasting change.
_BASE_WEIGHT: Final = 0.2
_BASE_RISE_PER_S: Final = 0.02
_MS_PER_S: Final = 1000.0
#: A pause between answers counts at most this long.
_MAX_PASSED_S: Final = 10.0
#: Number of routes whose base times are kept.
_MAX_ROUTES: Final = 128


@final
class QueueDelay:
    """Estimate of the waiting time at one server, which ages."""

    __slots__ = ('_delay_ms', '_updated_ms')

    def __init__(self) -> None:
        """Create an estimate of an empty queue."""
        self._delay_ms: float = 0
        self._updated_ms: float = 0

    def delay_ms(self, now_ms: float) -> float:
        """Return how long a request would wait now."""
        if not self._delay_ms:
            return 0
        aged_ms = self._delay_ms - _DRAIN_RATE * (now_ms - self._updated_ms)
        return max(0, aged_ms)

    def observe(self, waited_ms: float, now_ms: float) -> None:
        """Record how long an answered request has waited."""
        before_ms = self.delay_ms(now_ms)
        self._delay_ms = before_ms + _WEIGHT * (max(0, waited_ms) - before_ms)
        self._updated_ms = now_ms

    def raise_to(self, waited_ms: float, now_ms: float) -> None:
        """Record that an unfinished or refused request waits this long."""
        if waited_ms > self.delay_ms(now_ms):
            self._delay_ms = waited_ms
            self._updated_ms = now_ms


@final
class BaseTime:
    """Response time of servers without a queue, for one route.

    :ivar base_ms: the time, 0 before the first answer.
    """

    __slots__ = ('_updated_ms', 'base_ms')

    def __init__(self) -> None:
        """Create a time without any answers."""
        self.base_ms: float = 0
        self._updated_ms: float = 0

    def add(self, elapsed_ms: float, now_ms: float) -> None:
        """Record the response time of one answer."""
        base_ms = self.base_ms or elapsed_ms
        passed_s = (now_ms - self._updated_ms) / _MS_PER_S
        base_ms *= 1 + _BASE_RISE_PER_S * min(passed_s, _MAX_PASSED_S)
        if elapsed_ms < base_ms:
            base_ms += _BASE_WEIGHT * (elapsed_ms - base_ms)
        self.base_ms = base_ms
        self._updated_ms = now_ms


@final
class BaseTimes:
    """Base times of all routes."""

    def __init__(self) -> None:
        """Create a record without any times."""
        self._times: OrderedDict[str, BaseTime] = OrderedDict()

    def of_route(self, route: str) -> BaseTime:
        """Return the time of a route, which is updated in place."""
        time = self._times.get(route)
        if time is None:
            time = self._times.setdefault(route, BaseTime())
            if len(self._times) > _MAX_ROUTES:
                self._times.popitem(last=False)
        return time
