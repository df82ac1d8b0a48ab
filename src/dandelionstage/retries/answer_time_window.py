"""The last answer times, in order of size."""

from bisect import insort
from collections import deque
from typing import Final, final

__all__ = ('AnswerTimeWindow',)

#: Fewer than this say nothing of a tail.
_ENOUGH_SAMPLES: Final = 8


@final
class AnswerTimeWindow:
    """The last answer times in order of arrival and of size."""

    def __init__(self, size: int) -> None:
        """Keep this many."""
        self._arrived: deque[float] = deque()
        self._sorted: list[float] = []
        self._size = size

    def add(self, elapsed_ms: float) -> None:
        """Take in one answer time, dropping the oldest when full."""
        if len(self._arrived) >= self._size:
            self._sorted.remove(self._arrived.popleft())
        self._arrived.append(elapsed_ms)
        insort(self._sorted, elapsed_ms)

    def quantile_ms(self, quantile: float) -> float | None:
        """Return a quantile, ``None`` with too few samples."""
        count = len(self._sorted)
        if count < _ENOUGH_SAMPLES:
            return None
        return self._sorted[int(count * quantile)]
