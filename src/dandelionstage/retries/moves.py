"""Says what to try after an attempt that brought no part."""

from collections.abc import Mapping
from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from ..model.verdict import Reason

__all__ = ('Move', 'is_free', 'move_after')


@unique
class Move(Enum):
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


_MOVES: Final[Mapping[Reason, Move]] = MappingProxyType(
    {
        Reason.PEER_UNREACHABLE: Move.NEXT_OWNER,
        Reason.PROTOCOL_MISMATCH: Move.NEXT_OWNER,
        Reason.STOPPING: Move.NEXT_OWNER,
        Reason.NOT_OWNER: Move.NEXT_OWNER,
        Reason.NO_OWNER: Move.NEXT_OWNER,
        Reason.PROCESS_PAUSED: Move.NEXT_OWNER,
        Reason.UNKNOWN_BACKEND: Move.NEXT_OWNER,
        Reason.INTERNAL_ERROR: Move.NEXT_OWNER,
        Reason.BACKEND_DRAINING: Move.NEXT_REPLICA,
        Reason.BACKEND_COLD: Move.NEXT_REPLICA,
        Reason.BACKEND_EJECTED: Move.NEXT_REPLICA,
        Reason.BACKEND_ERROR: Move.NEXT_REPLICA,
        Reason.BAD_REPLY: Move.NEXT_REPLICA,
        Reason.SNAPSHOT_MISMATCH: Move.NEXT_REPLICA,
        Reason.CONNECT_FAILED: Move.NEXT_REPLICA,
        Reason.CONNECTION_LOST: Move.NEXT_REPLICA,
        Reason.CONNECTION_SILENT: Move.NEXT_REPLICA,
        Reason.BACKEND_OVERLOADED: Move.NEXT_REPLICA,
        Reason.NO_REPLICA: Move.ELSEWHERE,
        Reason.CONNECTION_LIMIT: Move.ELSEWHERE,
        Reason.QUEUE_FULL: Move.ELSEWHERE,
        Reason.QUEUE_SHED: Move.ELSEWHERE,
        Reason.ADMISSION_FULL: Move.ELSEWHERE,
        Reason.SNAPSHOT_GONE: Move.GONE,
        Reason.SHARD_MOVED: Move.GONE,
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


def move_after(reason: Reason) -> Move:
    """Say where to go after a refusal."""
    return _MOVES.get(reason, Move.GIVE_UP)


def is_free(reason: Reason) -> bool:
    """Whether moving on after a refusal without a run needs no budget."""
    return reason in _FREE
