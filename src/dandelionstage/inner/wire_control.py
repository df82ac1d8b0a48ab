"""Actions, documents, leases and stop notices as thrift structs."""

from ..model.documents import Document
from ..model.ids import (
    CallId,
    CustomerId,
    DocumentKey,
    Incarnation,
    RequestId,
    Revision,
    TicketId,
    VmId,
    WorkloadId,
)
from ..model.messages import (
    ActionCall,
    ActionOutcome,
    Documents,
    LeaseGrant,
    LeaseRequest,
    Leaving,
    Pull,
)
from .generated.ttypes import (
    ActionWire,
    DocumentsWire,
    DocumentWire,
    LeaseGrantWire,
    LeaseRequestWire,
    LeavingWire,
    OutcomeWire,
    PullWire,
)
from .wire_calls import decode_verdict, run_number

__all__ = (
    'decode_action',
    'decode_documents',
    'decode_lease_grant',
    'decode_lease_request',
    'decode_leaving',
    'decode_outcome',
    'decode_pull',
    'encode_action',
    'encode_documents',
    'encode_lease_grant',
    'encode_lease_request',
    'encode_leaving',
    'encode_outcome',
    'encode_pull',
)


def encode_action(message: ActionCall) -> ActionWire:
    """Make the wire form of an action."""
    return ActionWire(
        call=message.call,
        request=message.request,
        customer=message.customer,
        workload=message.workload,
        ticket=message.ticket,
        action_json=message.action_json,
        remaining_ms=message.remaining_ms,
    )


def decode_action(wire: ActionWire) -> ActionCall:
    """Read an action."""
    return ActionCall(
        call=CallId(wire.call),
        request=RequestId(wire.request),
        customer=CustomerId(wire.customer),
        workload=WorkloadId(wire.workload),
        ticket=TicketId(wire.ticket),
        action_json=wire.action_json,
        remaining_ms=wire.remaining_ms,
    )


def encode_outcome(message: ActionOutcome) -> OutcomeWire:
    """Make the wire form of an action's outcome."""
    return OutcomeWire(
        call=message.call,
        run=run_number(message.verdict.run),
        reason=message.verdict.reason.value,
        retry_after_ms=message.verdict.retry_after_ms,
        detail=message.verdict.detail,
        outcome_json=message.outcome_json,
    )


def decode_outcome(wire: OutcomeWire) -> ActionOutcome:
    """Read an action's outcome.

    :raises ValueError: the verdict is not known.
    """
    return ActionOutcome(
        call=CallId(wire.call),
        verdict=decode_verdict(wire),
        outcome_json=wire.outcome_json,
    )


def encode_pull(message: Pull) -> PullWire:
    """Make the wire form of a request for documents."""
    return PullWire(
        call=message.call,
        held=dict(message.held),
        above=message.above,
    )


def decode_pull(wire: PullWire) -> Pull:
    """Read a request for documents."""
    return Pull(
        call=CallId(wire.call),
        held={
            DocumentKey(key): Revision(revision)
            for key, revision in wire.held.items()
        },
        above=Revision(-1 if wire.above is None else wire.above),
    )


def encode_documents(message: Documents) -> DocumentsWire:
    """Make the wire form of documents."""
    return DocumentsWire(
        call=message.call,
        documents=[
            DocumentWire(document.key, document.revision, document.body_json)
            for document in message.documents
        ],
    )


def decode_documents(wire: DocumentsWire) -> Documents:
    """Read documents, their bodies not yet validated."""
    return Documents(
        call=CallId(wire.call),
        documents=tuple(map(_decode_document, wire.documents)),
    )


def encode_lease_request(message: LeaseRequest) -> LeaseRequestWire:
    """Make the wire form of a lease request."""
    return LeaseRequestWire(message.call, message.key, message.amount)


def decode_lease_request(wire: LeaseRequestWire) -> LeaseRequest:
    """Read a lease request."""
    return LeaseRequest(CallId(wire.call), wire.key, wire.amount)


def encode_lease_grant(message: LeaseGrant) -> LeaseGrantWire:
    """Make the wire form of a lease."""
    return LeaseGrantWire(
        message.call,
        message.key,
        message.amount,
        message.duration_ms,
    )


def decode_lease_grant(wire: LeaseGrantWire) -> LeaseGrant:
    """Read a lease."""
    return LeaseGrant(
        CallId(wire.call),
        wire.key,
        wire.amount,
        wire.duration_ms,
    )


def encode_leaving(message: Leaving) -> LeavingWire:
    """Make the wire form of a stop notice."""
    return LeavingWire(message.vm, message.incarnation)


def decode_leaving(wire: LeavingWire) -> Leaving:
    """Read a stop notice."""
    return Leaving(VmId(wire.vm), Incarnation(wire.incarnation))


def _decode_document(wire: DocumentWire) -> Document:
    wire.validate()
    return Document(
        DocumentKey(wire.key),
        Revision(wire.revision),
        wire.body_json,
    )
