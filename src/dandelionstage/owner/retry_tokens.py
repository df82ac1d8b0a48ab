"""Limit on the retries of an owner at other replicas."""

from typing import Final, final

__all__ = ('RetryTokens',)

_TOKENS_PER_SUB_REQUEST: Final = 0.05
_MAX_TOKENS: Final = 10.0


@final
class RetryTokens:
    """A token bucket filled by the sub-requests that arrive.

    It bounds the attempts per sub-request even if every server refuses.
    """

    def __init__(self) -> None:
        """Create a full bucket."""
        self._tokens = _MAX_TOKENS

    def count_sub_request(self) -> None:
        """Add the fraction of a token that each sub-request earns."""
        self._tokens = min(
            _MAX_TOKENS,
            self._tokens + _TOKENS_PER_SUB_REQUEST,
        )

    def try_spend(self) -> bool:
        """Take a token for one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
