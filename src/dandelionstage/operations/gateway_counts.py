"""What the gateway counts: plain additions, shown only when asked for."""

from bisect import bisect_left
from collections import Counter
from enum import Enum, unique
from typing import Final, final

__all__ = ('BOUNDS_MS', 'GatewayCounts', 'LatencyBuckets', 'WireHop')

#: Upper bounds of the latency buckets; the targets lie between 50 and 1000.
BOUNDS_MS: Final = (
    2,
    5,
    10,
    20,
    35,
    50,
    75,
    100,
    150,
    250,
    500,
    1000,
    2500,
    5000,
)
#: Routes that are counted apart; the others are counted together, so that
#: memory stays bounded when routes come and go.
_MOST_ROUTES: Final = 64
_OTHER_ROUTES: Final = 'other'


@unique
class WireHop(Enum):
    """Whose waiting a latency is."""

    CALLER = 'caller'
    SERVER = 'server'


@final
class LatencyBuckets:
    """How many latencies fell below each bound.

    :ivar counts: for each bound those between it and the one before; the
        last for what lies beyond all bounds.
    """

    __slots__ = ('counts', 'sum_ms')

    def __init__(self) -> None:
        """Start empty."""
        self.counts = [0 for _ in (*BOUNDS_MS, 'beyond')]
        self.sum_ms: float = 0

    def add(self, elapsed_ms: float) -> None:
        """Count one latency."""
        self.counts[bisect_left(BOUNDS_MS, elapsed_ms)] += 1
        self.sum_ms += elapsed_ms


@final
class GatewayCounts:
    """Counts since the process started.

    :ivar events: decisions by kind, those whose log line was withheld too.
    :ivar answers: by route and status.
    :ivar latencies: by hop and route.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.events: Counter[str] = Counter()
        self.answers: Counter[tuple[str, int]] = Counter()
        self.latencies: dict[tuple[WireHop, str], LatencyBuckets] = {}
        self._routes: set[str] = set()

    def answer(self, route: str, status: int, elapsed_ms: float) -> None:
        """Count an answer to a caller."""
        label = self._label(route)
        self.answers[label, status] += 1
        self._add(WireHop.CALLER, label, elapsed_ms)

    def part(self, route: str, elapsed_ms: float) -> None:
        """Count a good reply of a backend server."""
        self._add(WireHop.SERVER, self._label(route), elapsed_ms)

    def _add(self, hop: WireHop, label: str, elapsed_ms: float) -> None:
        buckets = self.latencies.get((hop, label))
        if buckets is None:
            buckets = self.latencies.setdefault((hop, label), LatencyBuckets())
        buckets.add(elapsed_ms)

    def _label(self, route: str) -> str:
        if route in self._routes:
            return route
        if len(self._routes) < _MOST_ROUTES:
            self._routes.add(route)
            return route
        return _OTHER_ROUTES
