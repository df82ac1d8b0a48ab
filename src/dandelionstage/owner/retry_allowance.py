"""How often an owner may try another replica."""

from typing import Final, final

__all__ = ('RetryAllowance',)

_RETRIES_PER_SUB_REQUEST: Final = 0.05
_LARGEST_BURST: Final = 10.0


@final
class RetryAllowance:
    """A token bucket filled by the sub-requests that arrive.

    It bounds attempts per sub-request however many servers refuse.
    """

    def __init__(self) -> None:
        """Start full."""
        self._tokens = _LARGEST_BURST

    def earn(self) -> None:
        """Record a sub-request."""
        self._tokens = min(
            _LARGEST_BURST,
            self._tokens + _RETRIES_PER_SUB_REQUEST,
        )

    def spend(self) -> bool:
        """Take one retry; false when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
