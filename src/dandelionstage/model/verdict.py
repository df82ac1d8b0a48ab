"""Verdicts: whether a request may have run, and why it was refused."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

__all__ = ('Reason', 'Run', 'Verdict', 'combine_verdicts', 'not_run')


@unique
class Run(Enum):
    """Whether a request was executed by a backend server."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


@unique
class Reason(Enum):
    """Reason why a request was refused, retried or hedged.

    There is one counter for each reason.
    """

    OK = 'ok'
    # Faults of the caller.
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
    # Limits that were reached.
    QUOTA_EXCEEDED = 'quota_exceeded'
    ADMISSION_FULL = 'admission_full'
    QUEUE_FULL = 'queue_full'
    QUEUE_SHED = 'queue_shed'
    RETRY_BUDGET_EMPTY = 'retry_budget_empty'
    CONNECTION_LIMIT = 'connection_limit'
    # Deadlines and pauses.
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
    # Decisions and faults of the daemons.
    HEDGED = 'hedged'
    CANCELLED = 'cancelled'
    STOPPING = 'stopping'
    MINTER_GONE = 'minter_gone'
    INTERNAL_ERROR = 'internal_error'


@final
@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a request as reported by one hop.

    :ivar run: whether the request may have run.
    :ivar reason: reason of the result, ``Reason.OK`` if it was answered.
    :ivar retry_after_ms: time until a retry makes sense, 0 if unknown.
    :ivar detail: one sentence for the operator or caller, without secrets.
    """

    run: Run
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ''


#: Values of ``run`` by the certainty that the request ran, lowest first.
_BY_CERTAINTY: Final = (Run.NOT_RUN, Run.MAY_HAVE_RUN, Run.RAN)


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts at the same request.

    Returns the verdict by which the request more certainly ran, or the second
    one if both are equally certain. The result is thus ``NOT_RUN`` only if
    both verdicts are.
    """
    if _BY_CERTAINTY.index(first.run) > _BY_CERTAINTY.index(second.run):
        return first
    return second


def not_run(
    reason: Reason,
    detail: str = '',
    retry_after_ms: int = 0,
) -> Verdict:
    """Return the verdict of a refused request that certainly did not run."""
    return Verdict(Run.NOT_RUN, reason, retry_after_ms, detail)
