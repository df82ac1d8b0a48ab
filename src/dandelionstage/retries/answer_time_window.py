"""A sliding window over the last answer times, with quantiles."""

from bisect import insort
from collections import deque
from typing import Final, final

__all__ = ('AnswerTimeWindow',)

#: With fewer samples a tail quantile is meaningless.
_MIN_SAMPLES: Final = 8


@final
class AnswerTimeWindow:
    """Keeps the last answer times in order of arrival and of size."""

    def __init__(self, size: int) -> None:
        """Create a window of at most ``size`` answer times."""
        self._arrived: deque[float] = deque()
        self._sorted: list[float] = []
        self._size = size

    def add(self, elapsed_ms: float) -> None:
        """Add an answer time; remove the oldest if the window is full."""
        if len(self._arrived) >= self._size:
            self._sorted.remove(self._arrived.popleft())
        self._arrived.append(elapsed_ms)
        insort(self._sorted, elapsed_ms)

    def quantile_ms(self, quantile: float) -> float | None:
        """Return a quantile in ms, ``None`` with too few samples.

        :param quantile: fraction of the answer times, 0 to below 1.
        """
        count = len(self._sorted)
        if count < _MIN_SAMPLES:
            return None
        return self._sorted[int(count * quantile)]
