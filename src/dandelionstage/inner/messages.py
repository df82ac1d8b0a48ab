"""Everything that travels between daemons, packed into envelopes."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final, final

from thrift.protocol.TProtocol import TProtocolException

from ..model.ids import DataCentreId, Incarnation, VmId
from ..model.messages import (
    ActionCall,
    ActionOutcome,
    Documents,
    LeaseGrant,
    LeaseRequest,
    Leaving,
    Pull,
    SubReply,
    SubRequest,
)
from . import wire_calls, wire_control
from .framing import BadFrameError
from .generated.ttypes import CancelWire, Envelope, PingWire
from .generated.ttypes import Hello as HelloWire

__all__ = (
    'PROTOCOL_VERSION',
    'CancelCall',
    'Hello',
    'InnerMessage',
    'Ping',
    'Pong',
    'pack',
    'unpack',
)

PROTOCOL_VERSION: Final = 1


@final
@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a connection, from either end."""

    vm: VmId
    incarnation: Incarnation
    data_centre: DataCentreId
    version: int = PROTOCOL_VERSION


@final
@dataclass(frozen=True, slots=True)
class CancelCall:
    """The sender no longer waits for this call."""

    call: str


@final
@dataclass(frozen=True, slots=True)
class Ping:
    """Asks the peer to prove that the connection still carries data."""

    token: int


@final
@dataclass(frozen=True, slots=True)
class Pong:
    """The answer to a ping."""

    token: int


InnerMessage = (
    ActionCall
    | ActionOutcome
    | CancelCall
    | Documents
    | Hello
    | LeaseGrant
    | LeaseRequest
    | Leaving
    | Ping
    | Pong
    | Pull
    | SubReply
    | SubRequest
)


@final
@dataclass(frozen=True, slots=True)
class _Codec:
    """How one kind of message stands in an envelope.

    :ivar many: whether one envelope takes several of them.
    """

    field: str
    many: bool
    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


def _encode_hello(message: Hello) -> HelloWire:
    return HelloWire(
        message.version,
        message.vm,
        message.incarnation,
        message.data_centre,
    )


def _decode_hello(wire: HelloWire) -> Hello:
    return Hello(
        VmId(wire.vm),
        Incarnation(wire.incarnation),
        DataCentreId(wire.data_centre),
        wire.version,
    )


_CODECS: Final = (
    (Hello, _Codec('hello', False, _encode_hello, _decode_hello)),
    (
        SubRequest,
        _Codec(
            'sub_requests',
            True,
            wire_calls.encode_sub_request,
            wire_calls.decode_sub_request,
        ),
    ),
    (
        SubReply,
        _Codec(
            'sub_replies',
            True,
            wire_calls.encode_sub_reply,
            wire_calls.decode_sub_reply,
        ),
    ),
    (
        CancelCall,
        _Codec(
            'cancels',
            True,
            lambda message: CancelWire(message.call),
            lambda wire: CancelCall(wire.call),
        ),
    ),
    (
        Ping,
        _Codec(
            'ping',
            False,
            lambda message: PingWire(message.token),
            lambda wire: Ping(wire.token),
        ),
    ),
    (
        Pong,
        _Codec(
            'pong',
            False,
            lambda message: PingWire(message.token),
            lambda wire: Pong(wire.token),
        ),
    ),
    (
        ActionCall,
        _Codec(
            'actions',
            True,
            wire_control.encode_action,
            wire_control.decode_action,
        ),
    ),
    (
        ActionOutcome,
        _Codec(
            'outcomes',
            True,
            wire_control.encode_outcome,
            wire_control.decode_outcome,
        ),
    ),
    (
        Pull,
        _Codec(
            'pull',
            False,
            wire_control.encode_pull,
            wire_control.decode_pull,
        ),
    ),
    (
        Documents,
        _Codec(
            'documents',
            False,
            wire_control.encode_documents,
            wire_control.decode_documents,
        ),
    ),
    (
        LeaseRequest,
        _Codec(
            'lease_requests',
            True,
            wire_control.encode_lease_request,
            wire_control.decode_lease_request,
        ),
    ),
    (
        LeaseGrant,
        _Codec(
            'lease_grants',
            True,
            wire_control.encode_lease_grant,
            wire_control.decode_lease_grant,
        ),
    ),
    (
        Leaving,
        _Codec(
            'leaving',
            False,
            wire_control.encode_leaving,
            wire_control.decode_leaving,
        ),
    ),
)
_CODEC_OF: Final = MappingProxyType(dict(_CODECS))


def pack(messages: Iterable[InnerMessage]) -> Iterator[Envelope]:
    """Fill as few envelopes as the messages fit in."""
    envelope = Envelope()
    for message in messages:
        codec = _CODEC_OF[type(message)]
        if not codec.many and getattr(envelope, codec.field) is not None:
            yield envelope
            envelope = Envelope()
        _add(envelope, codec, message)
    yield envelope


def unpack(envelope: Envelope) -> Iterator[InnerMessage]:
    """Read every message of an envelope.

    :raises BadFrameError: a message lacks a field or has an unknown value.
    """
    for _, codec in _CODECS:
        present = getattr(envelope, codec.field)
        if present is None:
            continue
        for wire in present if codec.many else (present,):
            yield _decode(codec, wire)


def _add(envelope: Envelope, codec: _Codec, message: InnerMessage) -> None:
    wire = codec.encode(message)
    if not codec.many:
        setattr(envelope, codec.field, wire)
        return
    present = getattr(envelope, codec.field)
    if present is None:
        setattr(envelope, codec.field, [wire])
    else:
        present.append(wire)


def _decode(codec: _Codec, wire: Any) -> Any:
    try:
        return _decode_checked(codec, wire)
    except (ValueError, TypeError, TProtocolException) as error:
        raise BadFrameError(str(error)) from error


def _decode_checked(codec: _Codec, wire: Any) -> Any:
    # The accelerated decoder leaves absent required fields at None.
    wire.validate()
    return codec.decode(wire)
