"""Adaptive concurrency limit for one backend server."""

from typing import Final, final

__all__ = ('ConcurrencyLimit',)

#: Factor applied to the limit when the server sheds load.
_DECREASE_FACTOR: Final = 0.7
#: Limit after a cold start of the server.
_COLD_LIMIT: Final = 1.0
#: Refusals within this time are one overload and lower the limit only once.
_MIN_DECREASE_INTERVAL_MS: Final = 100.0
#: Upper bound on the retry-after time that a server may ask for.
_MAX_RETRY_AFTER_MS: Final = 5000.0


@final
class ConcurrencyLimit:
    """Limits the attempts in flight at one backend server.

    The limit starts at the declared slots and adapts by additive increase
    and multiplicative decrease (Chiu and Jain 1989): it grows by one after
    as many successes as the limit, and shrinks by a constant factor when the
    server refuses work for overload.

    :ivar blocked_until_ms: the server asked for no work before this time.
    """

    def __init__(self, slots: int) -> None:
        """Create a limit of all declared slots."""
        self._slots = slots
        self._limit = float(slots)
        self._last_decrease_ms = float('-inf')
        self.blocked_until_ms = float('-inf')

    def allowed(self, now_ms: float) -> int:
        """Return how many attempts may be in flight.

        :returns: 0 while blocked, otherwise at least 1.
        """
        return int(self._limit) if now_ms >= self.blocked_until_ms else 0

    def resize(self, slots: int) -> None:
        """Apply a newly declared number of slots."""
        added = max(0, slots - self._slots)
        self._slots = slots
        self._limit = max(1.0, min(self._limit + added, slots))

    def record_success(self) -> None:
        """Raise the limit after a successful attempt."""
        self._limit = min(self._slots, self._limit + 1 / self._limit)

    def record_overload(self, now_ms: float, retry_after_ms: float) -> None:
        """Lower the limit after the server refused work for overload."""
        self._block(now_ms, retry_after_ms)
        if now_ms < self._last_decrease_ms + _MIN_DECREASE_INTERVAL_MS:
            return
        self._last_decrease_ms = now_ms
        self._limit = max(1.0, self._limit * _DECREASE_FACTOR)

    def record_cold_start(self, now_ms: float, retry_after_ms: float) -> None:
        """Reset the limit to its minimum after a cold start of the server."""
        self._block(now_ms, retry_after_ms)
        self._limit = min(self._slots, _COLD_LIMIT)

    def _block(self, now_ms: float, retry_after_ms: float) -> None:
        until_ms = now_ms + min(retry_after_ms, _MAX_RETRY_AFTER_MS)
        self.blocked_until_ms = max(self.blocked_until_ms, until_ms)
