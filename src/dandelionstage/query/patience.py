"""Says when an owner that does not reply is silent, and when it is lost."""

from typing import Final

from .messages import Query
from .shard import Attempt
from .tools import QueryTools

__all__ = ('find_patience_ms', 'is_owner_silent')

#: An owner may take this many times longer than most shards, and at least
#: the least patience, before it counts as silent.
_PATIENCE_FACTOR: Final = 4
_LEAST_PATIENCE_MS: Final = 100


def is_owner_silent(attempt: Attempt, tools: QueryTools) -> bool:
    """Whether the owner said nothing, to any query, since the attempt."""
    return not tools.owners.replied_since(attempt.target.vm, attempt.sent_ms)


def find_patience_ms(query: Query, tools: QueryTools) -> float:
    """Return how long an owner may say nothing before it counts as lost."""
    typical_ms = tools.delays.typical_ms(query.workload)
    return max(_LEAST_PATIENCE_MS, typical_ms * _PATIENCE_FACTOR)
