"""Maps the reason of a failed attempt to the next step of a retry."""

from collections.abc import Mapping
from enum import Enum, unique
from types import MappingProxyType
from typing import Final

from ..model.verdict import Reason

__all__ = ('RetryStep', 'needs_no_budget', 'retry_step')


@unique
class RetryStep(Enum):
    """What to do after a failed attempt at a shard."""

    #: The owner cannot serve the attempt; another owner may.
    NEXT_OWNER = 'next_owner'
    #: One backend server cannot serve it; the owner may use another one.
    NEXT_REPLICA = 'next_replica'
    #: None of the owner's backend servers can serve it now; those of another
    #: data centre may.
    ELSEWHERE = 'elsewhere'
    #: The backend server does not hold the pinned snapshot or the shard.
    GONE = 'gone'
    #: Another attempt would fail for the same reason.
    GIVE_UP = 'give_up'


_STEPS: Final[Mapping[Reason, RetryStep]] = MappingProxyType(
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

#: Refusals after which a retry is not charged to the retry budget: no backend
#: server does work for them, and a shard gets at most as many of them as it has
#: owners or replicas.
_WITHOUT_BUDGET: Final = frozenset(
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
    """Return the next step after a refusal for this reason."""
    return _STEPS.get(reason, RetryStep.GIVE_UP)


def needs_no_budget(reason: Reason) -> bool:
    """Whether a retry is not charged, provided the attempt did not run."""
    return reason in _WITHOUT_BUDGET
