"""What goes into a query's execution and what comes out of it."""

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

#: Lists the owners of a shard, best first: workload, shard, its replicas and
#: those of them to avoid.
Route = Callable[
    [WorkloadId, ShardId, tuple[BackendId, ...], frozenset[BackendId]],
    tuple[Target, ...],
]


@final
@dataclass(frozen=True, slots=True)
class Query:
    """One caller's query.

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
    """How a query ended.

    :ivar verdict: reason ``OK`` for a whole or an allowed partial answer.
    :ivar pin: the snapshot and shard map of every part, ``None`` when no
        snapshot could be pinned.
    :ivar published_at_s: of the pinned snapshot, seconds since 1970.
    :ivar coverage: computed from the parts merged.
    :ivar records: empty when the query was refused.
    :ivar extra_load: sub-requests beyond the first one to each shard.
    :ivar primaries: first sub-requests, one to each shard.
    :ivar events: retries by the reason for them, hedges, denials by the
        retry budget, and replies dropped.
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
    """Asks for a sub-request to be sent to an owner."""

    vm: VmId
    sub_request: SubRequest


@final
@dataclass(frozen=True, slots=True)
class CancelSubRequest:
    """Asks an owner to give up a sub-request."""

    vm: VmId
    call: CallId


@final
@dataclass(frozen=True, slots=True)
class Finish:
    """Ends the query; nothing is sent after it."""

    answer: Answer


QueryCommand = SendSubRequest | CancelSubRequest | Finish
