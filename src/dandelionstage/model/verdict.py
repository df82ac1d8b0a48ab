"""The verdict: whether a request may have run, and why it was refused."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

__all__ = ('Reason', 'Run', 'Verdict', 'combine_verdicts', 'not_run')


@unique
class Run(Enum):
    """Whether the request took effect at a backend server."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


@unique
class Reason(Enum):
    """Why a request was refused, retried or hedged; one counter each."""

    OK = 'ok'
    # The caller's side.
    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    UNAUTHORIZED = 'unauthorized'
    UNKNOWN_CUSTOMER = 'unknown_customer'
    UNKNOWN_WORKLOAD = 'unknown_workload'
    WORKLOAD_NOT_ALLOWED = 'workload_not_allowed'
    UNKNOWN_TICKET = 'unknown_ticket'
    TICKET_EXPIRED = 'ticket_expired'
    TICKET_REUSED = 'ticket_reused'
    KEY_WITHOUT_TICKET = 'key_without_ticket'
    # Limits.
    QUOTA_EXCEEDED = 'quota_exceeded'
    ADMISSION_FULL = 'admission_full'
    QUEUE_FULL = 'queue_full'
    QUEUE_SHED = 'queue_shed'
    RETRY_BUDGET_EMPTY = 'retry_budget_empty'
    CONNECTION_LIMIT = 'connection_limit'
    # Time.
    DEADLINE_EXPIRED = 'deadline_expired'
    TOO_LATE_TO_START = 'too_late_to_start'
    PROCESS_PAUSED = 'process_paused'
    # Topology and configuration.
    NO_CONFIGURATION = 'no_configuration'
    NO_SNAPSHOT = 'no_snapshot'
    NO_REPLICA = 'no_replica'
    NO_OWNER = 'no_owner'
    NOT_OWNER = 'not_owner'
    UNKNOWN_BACKEND = 'unknown_backend'
    SHARD_MOVED = 'shard_moved'
    SNAPSHOT_GONE = 'snapshot_gone'
    SNAPSHOT_MISMATCH = 'snapshot_mismatch'
    COVERAGE_TOO_LOW = 'coverage_too_low'
    # Backend servers and connections.
    BACKEND_DRAINING = 'backend_draining'
    BACKEND_COLD = 'backend_cold'
    BACKEND_OVERLOADED = 'backend_overloaded'
    BACKEND_EJECTED = 'backend_ejected'
    BACKEND_ERROR = 'backend_error'
    BAD_REPLY = 'bad_reply'
    CONNECT_FAILED = 'connect_failed'
    CONNECTION_LOST = 'connection_lost'
    CONNECTION_SILENT = 'connection_silent'
    PEER_UNREACHABLE = 'peer_unreachable'
    PROTOCOL_MISMATCH = 'protocol_mismatch'
    # Our own doing.
    HEDGED = 'hedged'
    CANCELLED = 'cancelled'
    STOPPING = 'stopping'
    MINTER_GONE = 'minter_gone'
    INTERNAL_ERROR = 'internal_error'


@final
@dataclass(frozen=True, slots=True)
class Verdict:
    """What one hop says of a request.

    :ivar run: whether the request may have run.
    :ivar reason: why, ``Reason.OK`` when it was answered.
    :ivar retry_after_ms: earliest sensible retry, 0 when unknown.
    :ivar detail: one sentence for a person, without secrets.
    """

    run: Run
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ''


#: How sure a verdict is that the request ran, lowest first.
_SEVERITY: Final = (Run.NOT_RUN, Run.MAY_HAVE_RUN, Run.RAN)


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Join the verdicts of two attempts at the same request.

    The request did not run only if neither attempt ran.  The later reason
    is kept when both are equally sure.
    """
    if _SEVERITY.index(first.run) > _SEVERITY.index(second.run):
        return first
    return second


def not_run(
    reason: Reason,
    detail: str = '',
    retry_after_ms: int = 0,
) -> Verdict:
    """Refuse a request that certainly did not run."""
    return Verdict(Run.NOT_RUN, reason, retry_after_ms, detail)
