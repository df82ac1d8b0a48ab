"""Notices that the process was paused, from the gap between two beats."""

from typing import final

__all__ = ('PauseDetector',)


@final
class PauseDetector:
    """Measures how late each beat comes.

    A process that was paused finds messages that lay unread meanwhile and
    cannot tell them from new ones.  So it takes the whole pause off the time
    that any message read right after it says is left.
    """

    def __init__(self, limit_ms: float) -> None:
        """Take the longest gap that counts as none.

        :param limit_ms: well above the interval of the beats; also how long
            after a pause messages may still be old.
        """
        self._limit_ms = limit_ms
        self._last_ms: float | None = None
        self._pause_ms = 0.0  # noqa: WPS358 -- a time, of type float
        self._old_until_ms = float('-inf')

    def beat(self, now_ms: float) -> float:
        """Tell how long the process was paused before this beat, in ms.

        :returns: the whole gap since the last beat, 0 if it is within the
            limit.
        """
        gap_ms = self._gap_ms(now_ms)
        self._last_ms = now_ms
        if gap_ms:
            self._pause_ms = gap_ms
            self._old_until_ms = now_ms + self._limit_ms
        return gap_ms

    def unread_ms(self, now_ms: float) -> float:
        """Tell how long a message read now may have lain unread, in ms."""
        if now_ms < self._old_until_ms:
            return self._pause_ms
        return self._gap_ms(now_ms)

    def _gap_ms(self, now_ms: float) -> float:
        if self._last_ms is None:
            return 0
        gap_ms = now_ms - self._last_ms
        return gap_ms if gap_ms > self._limit_ms else 0
