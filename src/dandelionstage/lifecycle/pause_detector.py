"""Detects pauses of the process by late calls of a periodic task."""

from typing import final

__all__ = ('PauseDetector',)


@final
class PauseDetector:
    """Measures the gaps between the calls of ``beat``, made at an interval.

    After a pause a process reads messages that arrived during the pause, and
    cannot tell them from new ones. If a message is read soon after a pause,
    its reader therefore subtracts the whole pause from the remaining time
    that the message states.
    """

    def __init__(self, limit_ms: float) -> None:
        """Create a detector without any beat.

        :param limit_ms: longest gap that is not a pause, well above the
            interval of the beats; also the time after a pause during which
            messages may still be old.
        """
        self._limit_ms = limit_ms
        self._last_ms: float | None = None
        self._pause_ms = 0.0  # noqa: WPS358 -- a time, of type float
        self._old_until_ms = float('-inf')

    def beat(self, now_ms: float) -> float:
        """Record a beat and return the pause before it, in ms.

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
        """Return how long a message may have waited to be read now, in ms."""
        if now_ms < self._old_until_ms:
            return self._pause_ms
        return self._gap_ms(now_ms)

    def _gap_ms(self, now_ms: float) -> float:
        if self._last_ms is None:
            return 0
        gap_ms = now_ms - self._last_ms
        return gap_ms if gap_ms > self._limit_ms else 0
