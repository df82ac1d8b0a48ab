"""Sub-requests and their replies as thrift structs."""

from typing import Final, TypeVar

from ..model.contract import Priority
from ..model.ids import (
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
from ..model.messages import (
    OwnerKey,
    Part,
    Pin,
    Record,
    SubReply,
    SubRequest,
)
from ..model.verdict import Reason, Run, Verdict
from .generated.ttypes import (
    OutcomeWire,
    RecordWire,
    SubReplyWire,
    SubRequestWire,
)

__all__ = (
    'decode_sub_reply',
    'decode_sub_request',
    'decode_verdict',
    'encode_sub_reply',
    'encode_sub_request',
    'run_number',
)

#: The position is the number on the wire, so the order never changes.
_PRIORITIES: Final = (Priority.URGENT, Priority.INTERACTIVE, Priority.BATCH)
_RUNS: Final = (Run.NOT_RUN, Run.MAY_HAVE_RUN, Run.RAN)

_Choice = TypeVar('_Choice')


def encode_sub_request(message: SubRequest) -> SubRequestWire:
    """Make the wire form of a sub-request."""
    return SubRequestWire(
        call=message.call,
        request=message.request,
        customer=message.customer,
        workload=message.owner_key.workload,
        shard=message.owner_key.shard,
        data_centre=message.owner_key.data_centre,
        snapshot=message.pin.snapshot,
        shard_map_revision=message.pin.shard_map_revision,
        replicas=list(message.replicas),
        priority=_PRIORITIES.index(message.priority),
        remaining_ms=message.remaining_ms,
        query_json=message.query_json,
        hedge=message.hedge,
        action=message.action,
    )


def decode_sub_request(wire: SubRequestWire) -> SubRequest:
    """Read a sub-request.

    :raises ValueError: the priority is not known.
    """
    return SubRequest(
        call=CallId(wire.call),
        request=RequestId(wire.request),
        customer=CustomerId(wire.customer),
        owner_key=OwnerKey(
            WorkloadId(wire.workload),
            ShardId(wire.shard),
            DataCentreId(wire.data_centre),
        ),
        pin=Pin(SnapshotId(wire.snapshot), Revision(wire.shard_map_revision)),
        replicas=tuple(map(BackendId, wire.replicas)),
        priority=_pick(_PRIORITIES, wire.priority),
        remaining_ms=wire.remaining_ms,
        query_json=wire.query_json,
        hedge=wire.hedge,
        action=wire.action,
    )


def encode_sub_reply(message: SubReply) -> SubReplyWire:
    """Make the wire form of a reply."""
    wire = SubReplyWire(
        call=message.call,
        run=run_number(message.verdict.run),
        reason=message.verdict.reason.value,
        retry_after_ms=message.verdict.retry_after_ms,
        detail=message.verdict.detail,
        answered_by=message.answered_by,
        backend=message.backend,
        held_snapshots=list(message.held_snapshots),
        service_ms=message.service_ms,
        queue_ms=message.queue_ms,
    )
    if message.part is not None:
        _add_part(wire, message.part)
    return wire


def decode_sub_reply(wire: SubReplyWire) -> SubReply:
    """Read a reply.

    :raises ValueError: the verdict is not known.
    """
    return SubReply(
        call=CallId(wire.call),
        verdict=decode_verdict(wire),
        answered_by=VmId(wire.answered_by),
        part=_decode_part(wire),
        backend=None if wire.backend is None else BackendId(wire.backend),
        held_snapshots=tuple(map(SnapshotId, wire.held_snapshots)),
        service_ms=wire.service_ms,
        queue_ms=wire.queue_ms,
    )


def decode_verdict(wire: SubReplyWire | OutcomeWire) -> Verdict:
    """Read the verdict that replies and outcomes carry alike.

    :raises ValueError: the reason or the run number is not known.
    """
    return Verdict(
        run=_pick(_RUNS, wire.run),
        reason=Reason(wire.reason),
        retry_after_ms=wire.retry_after_ms,
        detail=wire.detail,
    )


def run_number(run: Run) -> int:
    """Number a run state for the wire."""
    return _RUNS.index(run)


def _add_part(wire: SubReplyWire, part: Part) -> None:
    wire.part_backend = part.backend
    wire.shard = part.shard
    wire.snapshot = part.pin.snapshot
    wire.shard_map_revision = part.pin.shard_map_revision
    wire.records = [
        RecordWire(record.record, record.body_json) for record in part.records
    ]


def _decode_part(wire: SubReplyWire) -> Part | None:
    if wire.records is None:
        return None
    if None in {wire.part_backend, wire.shard, wire.snapshot}:
        raise ValueError('a part without its origin')
    return Part(
        backend=BackendId(wire.part_backend),
        shard=ShardId(wire.shard),
        pin=Pin(
            SnapshotId(wire.snapshot), Revision(wire.shard_map_revision or 0)
        ),
        records=tuple(map(_decode_record, wire.records)),
    )


def _decode_record(wire: RecordWire) -> Record:
    wire.validate()
    return Record(RecordId(wire.record), wire.body_json)


def _pick(choices: tuple[_Choice, ...], number: int) -> _Choice:
    if 0 <= number < len(choices):
        return choices[number]
    raise ValueError('unknown number {0}'.format(number))
