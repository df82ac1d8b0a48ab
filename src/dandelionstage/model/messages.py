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
    """Identifies the replicas of a shard in one data centre.

    VMs are ranked by this key; the first ones are its owners, which receive
    its sub-requests and send attempts to these replicas.
    """

    workload: WorkloadId
    shard: ShardId
    data_centre: DataCentreId


@final
@dataclass(frozen=True, slots=True)
class Pin:
    """Snapshot and shard map revision that all parts of an answer must have."""

    snapshot: SnapshotId
    shard_map_revision: Revision


@final
@dataclass(frozen=True, slots=True)
class Record:
    """One record of an answer, with its body as JSON.

    :ivar record: id of the record; a record that several shards return has the
        same id in each.
    """

    record: RecordId
    body_json: str


@final
@dataclass(frozen=True, slots=True)
class SubRequest:
    """One attempt at one shard, sent by an entry to an owner.

    The entry is the VM that received the request of the caller.

    :ivar replicas: backend servers of the pinned shard map in the owner's
        data centre, without those to avoid.
    :ivar remaining_ms: time left until the deadline when the message was
        sent.
    :ivar query_json: the caller's query, passed on without being parsed.
    :ivar hedge: whether this is a second attempt while the first is still in
        flight; the owner accepts it only if a slot is free at once.
    :ivar action: whether this is a non-idempotent request, which is never
        sent twice.
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
    """Partial answer of one backend server, with the pin that it reports."""

    backend: BackendId
    shard: ShardId
    pin: Pin
    records: tuple[Record, ...]


@final
@dataclass(frozen=True, slots=True)
class SubReply:
    """Reply of an owner to one sub-request.

    :ivar answered_by: the owner.
    :ivar part: partial answer, only if the verdict's reason is ``OK``.
    :ivar backend: backend server of the attempt, if there was one.
    :ivar held_snapshots: snapshots that the backend server reports to hold.
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
    """An action, forwarded to the process that minted its ticket."""

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
    """Outcome of an action, sent by the process that minted its ticket.

    :ivar outcome_json: outcome from the backend server if the action ran,
        else empty.
    """

    call: CallId
    verdict: Verdict
    outcome_json: str = ''


@final
@dataclass(frozen=True, slots=True)
class Digest:
    """Summary of the documents that a VM holds, to compare with a peer's."""

    documents_hash: int
    highest_revision: Revision


@final
@dataclass(frozen=True, slots=True)
class Pull:
    """Requests from a peer all documents newer than those already held.

    :ivar held: revisions already held, by document key.
    :ivar above: the peer sends only documents above this revision, so that a
        VM that is a few revisions behind need not list all its documents.
    """

    call: CallId
    held: Mapping[DocumentKey, Revision]
    above: Revision = Revision(-1)


@final
@dataclass(frozen=True, slots=True)
class Documents:
    """Documents pushed to a peer (empty call id) or sent in reply to a pull."""

    call: CallId
    documents: tuple[Document, ...]


@final
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Requests a share of a limit from a VM that holds one.

    :ivar key: kind and name of the limit and digest of the shares, as in
        ``quota/<customer>/<digest>``.
    :ivar amount: amount in the unit of the limit.
    """

    call: CallId
    key: str
    amount: float


@final
@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grants a share of a limit for a time.

    The borrower counts the time from when it sent the request, the lender
    from when it sent the grant, so the lease always ends at the borrower
    first.
    """

    call: CallId
    key: str
    amount: float
    duration_ms: int


@final
@dataclass(frozen=True, slots=True)
class Leaving:
    """Announces that an incarnation of a VM is stopping."""

    vm: VmId
    incarnation: Incarnation
