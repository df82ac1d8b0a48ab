"""Decides when an owner that sends no replies counts as lost."""

from typing import Final

from .messages import Query
from .shard_progress import Attempt
from .shared_state import SharedQueryState

__all__ = ('is_owner_unresponsive', 'owner_timeout_ms')

#: The timeout is this many times the typical answer time of the workload,
#: but not below the minimum.
_TIMEOUT_FACTOR: Final = 4
_MIN_TIMEOUT_MS: Final = 100


def is_owner_unresponsive(attempt: Attempt, shared: SharedQueryState) -> bool:
    """Whether the owner has replied to no query since the attempt was sent."""
    return not shared.owners.replied_since(attempt.target.vm, attempt.sent_ms)


def owner_timeout_ms(query: Query, shared: SharedQueryState) -> float:
    """Return the time without a reply, in ms, after which an owner is lost."""
    typical_ms = shared.hedge_delays.typical_ms(query.workload)
    return max(_MIN_TIMEOUT_MS, typical_ms * _TIMEOUT_FACTOR)
