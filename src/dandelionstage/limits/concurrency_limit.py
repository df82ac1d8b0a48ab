"""How much work may be in flight at one backend server."""

from typing import Final, final

__all__ = ('ConcurrencyLimit',)

#: What remains of the limit after the server sheds.
_DECREASE: Final = 0.7
#: Starts again with this much after a cold start.
_COLD_LIMIT: Final = 1.0
#: One shed wave lowers the limit once.
_DECREASE_PAUSE_MS: Final = 100.0
#: The longest that a server's own word holds work back.
_MAX_HOLD_MS: Final = 5000.0


@final
class ConcurrencyLimit:
    """Lowers the declared slots by what the server sheds.

    Additive increase, multiplicative decrease (Chiu and Jain 1989): the
    limit gains one for each limit of successes and loses a share when the
    server sheds.

    :ivar held_until_ms: the server asked for no work before this time.
    """

    def __init__(self, slots: int) -> None:
        """Start with all declared slots."""
        self._slots = slots
        self._limit = float(slots)
        self._lowered_ms = float('-inf')
        self.blocked_until_ms = float('-inf')

    def allowed(self, now_ms: float) -> int:
        """Say how many may be in flight, at least one unless held back."""
        return int(self._limit) if now_ms >= self.blocked_until_ms else 0

    def resize(self, slots: int) -> None:
        """Follow a newly declared number of slots."""
        gain = max(0, slots - self._slots)
        self._slots = slots
        self._limit = max(1.0, min(self._limit + gain, slots))

    def record_success(self) -> None:
        """Raise the limit after an answer."""
        self._limit = min(self._slots, self._limit + 1 / self._limit)

    def record_overload(self, now_ms: float, retry_after_ms: float) -> None:
        """Lower the limit after the server refused for overload."""
        self._hold(now_ms, retry_after_ms)
        if now_ms < self._lowered_ms + _DECREASE_PAUSE_MS:
            return
        self._lowered_ms = now_ms
        self._limit = max(1.0, self._limit * _DECREASE)

    def record_cold_start(self, now_ms: float, retry_after_ms: float) -> None:
        """Start slowly: the server is cold."""
        self._hold(now_ms, retry_after_ms)
        self._limit = min(self._slots, _COLD_LIMIT)

    def _hold(self, now_ms: float, retry_after_ms: float) -> None:
        held_ms = now_ms + min(retry_after_ms, _MAX_HOLD_MS)
        self.blocked_until_ms = max(self.blocked_until_ms, held_ms)
