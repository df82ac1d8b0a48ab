"""Defines the queries, commands and answers of a query execution."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import final

from ..model.contract import Contract
from ..model.coverage import Coverage
from ..model.ids import (
    BackendId,
    CallId,
    RequestId,
    ShardId,
    VmId,
    WorkloadId,
)
from ..model.messages import Pin, Record, SubRequest
from ..model.verdict import Reason, Verdict
from ..routing.targets import Target

__all__ = (
    'Answer',
    'CancelSubRequest',
    'Finish',
    'Query',
    'QueryCommand',
    'Route',
    'SendSubRequest',
)

#: Returns the targets for a shard, best first.  The arguments are the workload,
#: the shard, its replicas and the replicas to avoid.
Route = Callable[
    [WorkloadId, ShardId, tuple[BackendId, ...], frozenset[BackendId]],
    tuple[Target, ...],
]


@final
@dataclass(frozen=True, slots=True)
class Query:
    """One query of a caller.

    :ivar request: id of the request, sent with each sub-request.
    :ivar contract: the contract of the customer that sent the query.
    :ivar workload: the workload to search.
    :ivar query_json: the caller's query, passed on unparsed.
    :ivar deadline_ms: on the monotonic clock of this process.
    """

    request: RequestId
    contract: Contract
    workload: WorkloadId
    query_json: str
    deadline_ms: float


@final
@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a query, or its refusal.

    :ivar verdict: reason ``OK`` for a complete answer, or for a partial one
        with the minimum coverage of the contract.
    :ivar pin: the snapshot and shard map of every part, ``None`` if no
        snapshot could be pinned.
    :ivar published_at_s: when the pinned snapshot was published, in seconds
        since 1970.
    :ivar coverage: computed from the merged parts.
    :ivar records: empty if the query was refused.
    :ivar extra_load: sub-requests beyond the first one to each shard.
    :ivar primaries: first sub-requests, one to each shard.
    :ivar events: counts of retries by reason, hedges (including probes),
        attempts denied by the retry budget, and dropped replies.
    """

    verdict: Verdict
    pin: Pin | None = None
    published_at_s: float = 0
    coverage: Coverage | None = None
    records: tuple[Record, ...] = ()
    extra_load: int = 0
    primaries: int = 0
    events: Mapping[Reason, int] = field(default_factory=dict)


@final
@dataclass(frozen=True, slots=True)
class SendSubRequest:
    """Command to send a sub-request to an owner."""

    vm: VmId
    sub_request: SubRequest


@final
@dataclass(frozen=True, slots=True)
class CancelSubRequest:
    """Command to cancel a sub-request at its owner."""

    vm: VmId
    call: CallId


@final
@dataclass(frozen=True, slots=True)
class Finish:
    """Last command of a query; carries its answer."""

    answer: Answer


QueryCommand = SendSubRequest | CancelSubRequest | Finish
