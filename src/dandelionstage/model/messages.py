"""Typed messages between the parts of a daemon and between daemons."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from .contract import Priority
from .documents import Document
from .ids import (
    BackendId,
    CallId,
    CustomerId,
    DataCentreId,
    DocumentKey,
    Incarnation,
    RecordId,
    RequestId,
    Revision,
    ShardId,
    SnapshotId,
    TicketId,
    VmId,
    WorkloadId,
)
from .verdict import Verdict

__all__ = (
    'ActionCall',
    'ActionOutcome',
    'Digest',
    'Documents',
    'LeaseGrant',
    'LeaseRequest',
    'Leaving',
    'OwnerKey',
    'Part',
    'Pin',
    'Pull',
    'Record',
    'SubReply',
    'SubRequest',
)


@final
@dataclass(frozen=True, slots=True)
class OwnerKey:
    """What one VM owns: the replicas of a shard in one data centre."""

    workload: WorkloadId
    shard: ShardId
    data_centre: DataCentreId


@final
@dataclass(frozen=True, slots=True)
class Pin:
    """The snapshot and shard map that every part of an answer must echo."""

    snapshot: SnapshotId
    shard_map_revision: Revision


@final
@dataclass(frozen=True, slots=True)
class Record:
    """One record found, its body still encoded as JSON.

    :ivar record: the same record has the same id on every shard.
    """

    record: RecordId
    body_json: str


@final
@dataclass(frozen=True, slots=True)
class SubRequest:
    """One attempt at one shard, from the entry to an owner.

    :ivar replicas: the backend servers of the pinned shard map that stand in
        the owner's data centre, those to avoid left out.
    :ivar remaining_ms: time left when the message was sent.
    :ivar query_json: the caller's query, not looked into.
    :ivar hedge: a second attempt while the first is still out; it is taken
        only if a slot is free at once.
    :ivar action: a non-idempotent request, never sent twice.
    """

    call: CallId
    request: RequestId
    customer: CustomerId
    owner_key: OwnerKey
    pin: Pin
    replicas: tuple[BackendId, ...]
    priority: Priority
    remaining_ms: float
    query_json: str
    hedge: bool = False
    action: bool = False


@final
@dataclass(frozen=True, slots=True)
class Part:
    """What one backend server answered, as it says of itself."""

    backend: BackendId
    shard: ShardId
    pin: Pin
    records: tuple[Record, ...]


@final
@dataclass(frozen=True, slots=True)
class SubReply:
    """The end of one attempt.

    :ivar part: present only when the verdict's reason is ``OK``.
    :ivar backend: the backend server that was tried, if any.
    :ivar held_snapshots: what that backend server said it holds.
    :ivar answered_by: the owner.
    :ivar service_ms: time at the backend server.
    :ivar queue_ms: time in the owner's queue.
    """

    call: CallId
    verdict: Verdict
    answered_by: VmId
    part: Part | None = None
    backend: BackendId | None = None
    held_snapshots: tuple[SnapshotId, ...] = ()
    service_ms: float = 0
    queue_ms: float = 0


@final
@dataclass(frozen=True, slots=True)
class ActionCall:
    """An action, sent on to the process that minted its ticket."""

    call: CallId
    request: RequestId
    customer: CustomerId
    workload: WorkloadId
    ticket: TicketId
    action_json: str
    remaining_ms: float


@final
@dataclass(frozen=True, slots=True)
class ActionOutcome:
    """How an action ended, as its minting process knows it.

    :ivar outcome_json: the backend server's word when it ran, else empty.
    """

    call: CallId
    verdict: Verdict
    outcome_json: str = ''


@final
@dataclass(frozen=True, slots=True)
class Digest:
    """Sums up the documents a VM holds, to compare with a peer's."""

    documents_hash: int
    highest_revision: Revision


@final
@dataclass(frozen=True, slots=True)
class Pull:
    """Asks a peer for every document above the revisions already held.

    :ivar above: only documents above this revision are wanted, so that one
        who is only a little behind need not list all that it holds.
    """

    call: CallId
    held: Mapping[DocumentKey, Revision]
    above: Revision = Revision(-1)


@final
@dataclass(frozen=True, slots=True)
class Documents:
    """Documents pushed to a peer (an empty call) or pulled by one."""

    call: CallId
    documents: tuple[Document, ...]


@final
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks the holder of a limit for a share of it.

    :ivar key: which limit, as in ``quota/<customer>``.
    :ivar amount: in the limit's own unit.
    """

    call: CallId
    key: str
    amount: float


@final
@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A share lent for a time, counted from the request's send.

    The borrower counts from when it sent the request, the lender from when
    it sent the grant, so the borrower always stops first.
    """

    call: CallId
    key: str
    amount: float
    duration_ms: int


@final
@dataclass(frozen=True, slots=True)
class Leaving:
    """A VM says that this incarnation of itself is stopping."""

    vm: VmId
    incarnation: Incarnation
