"""Orders shards by the due time of their next attempt."""

import heapq
import math
from collections.abc import Iterator
from itertools import count
from typing import final

from .shard_progress import ShardProgress

__all__ = ('Timers',)


@final
class Timers:
    """A heap of due times.

    Entries of closed shards, and those replaced by a later call of
    ``schedule``, stay in the heap and are skipped.
    """

    def __init__(self) -> None:
        """Start without any due time."""
        self._heap: list[tuple[float, int, ShardProgress]] = []
        self._sequence = count()

    def schedule(self, progress: ShardProgress, due_ms: float) -> None:
        """Set when a shard's next attempt is due, replacing earlier times."""
        progress.due_ms = due_ms
        heapq.heappush(self._heap, (due_ms, next(self._sequence), progress))

    def pop_due(self, now_ms: float) -> Iterator[ShardProgress]:
        """Remove and yield the shards that are due, earliest first."""
        while self.next_ms() <= now_ms:
            progress = heapq.heappop(self._heap)[-1]
            progress.due_ms = math.inf
            yield progress

    def next_ms(self) -> float:
        """Return the earliest due time, infinity if there is none."""
        while self._heap:
            due_ms, _, progress = self._heap[0]
            if progress.pending and progress.due_ms == due_ms:
                return due_ms
            heapq.heappop(self._heap)
        return math.inf
