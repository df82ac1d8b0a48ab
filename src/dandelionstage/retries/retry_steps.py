"""Says what to try after an attempt that brought no part."""

from collections.abc import Mapping
from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from ..model.verdict import Reason

__all__ = ('RetryStep', 'needs_no_budget', 'retry_step')


@unique
class RetryStep(Enum):
    """Where the next attempt at a shard may go."""

    #: The owner itself cannot serve; another one may.
    NEXT_OWNER = 'next_owner'
    #: One backend server cannot serve; its owner may use another.
    NEXT_REPLICA = 'next_replica'
    #: None of the owner's backend servers can serve now.
    ELSEWHERE = 'elsewhere'
    #: A backend server does not hold the pinned snapshot or shard.
    GONE = 'gone'
    #: No other attempt would fare better.
    GIVE_UP = 'give_up'


_MOVES: Final[Mapping[Reason, RetryStep]] = MappingProxyType(
    {
        Reason.PEER_UNREACHABLE: RetryStep.NEXT_OWNER,
        Reason.PROTOCOL_MISMATCH: RetryStep.NEXT_OWNER,
        Reason.STOPPING: RetryStep.NEXT_OWNER,
        Reason.NOT_OWNER: RetryStep.NEXT_OWNER,
        Reason.NO_OWNER: RetryStep.NEXT_OWNER,
        Reason.PROCESS_PAUSED: RetryStep.NEXT_OWNER,
        Reason.UNKNOWN_BACKEND: RetryStep.NEXT_OWNER,
        Reason.INTERNAL_ERROR: RetryStep.NEXT_OWNER,
        Reason.BACKEND_DRAINING: RetryStep.NEXT_REPLICA,
        Reason.BACKEND_COLD: RetryStep.NEXT_REPLICA,
        Reason.BACKEND_EJECTED: RetryStep.NEXT_REPLICA,
        Reason.BACKEND_ERROR: RetryStep.NEXT_REPLICA,
        Reason.BAD_REPLY: RetryStep.NEXT_REPLICA,
        Reason.SNAPSHOT_MISMATCH: RetryStep.NEXT_REPLICA,
        Reason.CONNECT_FAILED: RetryStep.NEXT_REPLICA,
        Reason.CONNECTION_LOST: RetryStep.NEXT_REPLICA,
        Reason.CONNECTION_SILENT: RetryStep.NEXT_REPLICA,
        Reason.BACKEND_OVERLOADED: RetryStep.NEXT_REPLICA,
        Reason.NO_REPLICA: RetryStep.ELSEWHERE,
        Reason.CONNECTION_LIMIT: RetryStep.ELSEWHERE,
        Reason.QUEUE_FULL: RetryStep.ELSEWHERE,
        Reason.QUEUE_SHED: RetryStep.ELSEWHERE,
        Reason.ADMISSION_FULL: RetryStep.ELSEWHERE,
        Reason.SNAPSHOT_GONE: RetryStep.GONE,
        Reason.SHARD_MOVED: RetryStep.GONE,
    }
)

#: Refusals that cost no backend server any work and are bounded by the
#: number of owners or replicas, so moving on needs no budget.
_FREE: Final = frozenset(
    (
        Reason.PEER_UNREACHABLE,
        Reason.PROTOCOL_MISMATCH,
        Reason.STOPPING,
        Reason.NOT_OWNER,
        Reason.UNKNOWN_BACKEND,
        Reason.BACKEND_DRAINING,
        Reason.NO_REPLICA,
        Reason.SNAPSHOT_GONE,
        Reason.SHARD_MOVED,
    )
)


def retry_step(reason: Reason) -> RetryStep:
    """Say where to go after a refusal."""
    return _MOVES.get(reason, RetryStep.GIVE_UP)


def needs_no_budget(reason: Reason) -> bool:
    """Whether moving on after a refusal without a run needs no budget."""
    return reason in _FREE
