"""Orders shards by the time of their next attempt."""

import heapq
import math
from collections.abc import Iterator
from itertools import count
from typing import final

from .shard_progress import ShardProgress

__all__ = ('Timers',)


@final
class Timers:
    """A heap of due times; one that a shard has replaced is skipped."""

    def __init__(self) -> None:
        """Start without any."""
        self._heap: list[tuple[float, int, ShardProgress]] = []
        self._order = count()

    def plan(self, progress: ShardProgress, due_ms: float) -> None:
        """Set the time of a shard's next attempt, replacing any other."""
        progress.due_ms = due_ms
        heapq.heappush(self._heap, (due_ms, next(self._order), progress))

    def pop_due(self, now_ms: float) -> Iterator[ShardProgress]:
        """Take out the shards whose time has come, earliest first."""
        while self.next_ms() <= now_ms:
            progress = heapq.heappop(self._heap)[-1]
            progress.due_ms = math.inf
            yield progress

    def next_ms(self) -> float:
        """Return the earliest time, else infinity."""
        while self._heap:
            due_ms, _, progress = self._heap[0]
            if progress.open and progress.due_ms == due_ms:
                return due_ms
            heapq.heappop(self._heap)
        return math.inf
