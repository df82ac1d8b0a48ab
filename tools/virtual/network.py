"""A network on virtual time: delays, lost messages and cuts, all seeded."""

import random
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Final, final

__all__ = ('VirtualNetwork',)

#: One way between any two VMs, in milliseconds.
_SHORTEST_MS: Final = 0.2
_LONGEST_MS: Final = 1.5

_Callback = Callable[[], None]
_Event = tuple[float, int, _Callback]


@final
class VirtualNetwork:
    """Runs callbacks in order of virtual time.

    :ivar now_ms: virtual time.
    :ivar random: the one source of chance, so that a seed repeats a run.
    :ivar longest_ms: one way; the longer, the more messages overtake.
    :ivar lost_fraction: share of messages that get lost.
    :ivar doubled_fraction: share of messages that arrive twice.
    :ivar broken_pairs: pairs of ends that cannot reach each other.
    :ivar spared: ends that no cut between sides affects.
    """

    def __init__(self, seed: int) -> None:
        """Start at time zero with nothing to do."""
        self.now_ms: float = 0
        self.random = random.Random(seed)
        self.longest_ms = _LONGEST_MS
        self.lost_fraction: float = 0
        self.doubled_fraction: float = 0
        self.broken_pairs: set[frozenset[str]] = set()
        self.spared: set[str] = set()
        self._queue: list[_Event] = []
        self._order = count()
        self._sides: tuple[frozenset[str], ...] = ()

    def after(self, delay_ms: float, callback: _Callback) -> None:
        """Call back after a delay."""
        due_ms = self.now_ms + delay_ms
        heappush(self._queue, (due_ms, next(self._order), callback))

    def carry(
        self,
        source: str,
        target: str,
        deliver: _Callback,
    ) -> None:
        """Deliver a message unless it is lost or its way is cut."""
        if self.random.random() < self.lost_fraction:
            return
        if self.cut_between(source, target):
            return
        self._deliver_later(deliver)
        if self.random.random() < self.doubled_fraction:
            self._deliver_later(deliver)

    def cut(self, *sides: frozenset[str]) -> None:
        """Cut these sides off from each other; no side heals all."""
        self._sides = sides

    def cut_between(self, source: str, target: str) -> bool:
        """Say whether two ends are on different sides of a cut."""
        if self.broken_pairs and {source, target} in self.broken_pairs:
            return True
        if source in self.spared or target in self.spared:
            return False
        return any((source in side) != (target in side) for side in self._sides)

    def run(self, duration_ms: float) -> None:
        """Let virtual time pass."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            due_ms, _order, callback = heappop(self._queue)
            self.now_ms = due_ms
            callback()
        self.now_ms = end_ms

    def _deliver_later(self, deliver: _Callback) -> None:
        delay_ms = self.random.uniform(_SHORTEST_MS, self.longest_ms)
        self.after(delay_ms, deliver)
