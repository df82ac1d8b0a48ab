"""Notices that the process was paused, from the gap between two beats."""

from typing import final

__all__ = ('PauseDetector',)


@final
class PauseDetector:
    """Measures how late each beat comes.

    A process that was paused must drop expired work and read its facts
    again before it starts anything new.
    """

    def __init__(self, limit_ms: float) -> None:
        """Take the longest gap that counts as none.

        :param limit_ms: well above the interval of the beats.
        """
        self._limit_ms = limit_ms
        self._last_ms: float | None = None

    def beat(self, now_ms: float) -> float:
        """Tell how long the process was paused before this beat, in ms.

        :returns: the whole gap since the last beat, 0 if it is within the
            limit.
        """
        last_ms = self._last_ms
        self._last_ms = now_ms
        if last_ms is None:
            return 0
        gap_ms = now_ms - last_ms
        return gap_ms if gap_ms > self._limit_ms else 0
