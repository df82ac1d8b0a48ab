"""Typed messages between the parts of a daemon and between daemons."""

from dataclasses import dataclass
from typing import final

from .contract import Priority
from .ids import (
    BackendId,
    CallId,
    CustomerId,
    DataCentreId,
    RecordId,
    RequestId,
    Revision,
    ShardId,
    SnapshotId,
    VmId,
    WorkloadId,
)
from .verdict import Verdict

__all__ = (
    'OwnerKey',
    'Part',
    'Pin',
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
