"""Membership probes as datagrams in thrift's compact encoding."""

from typing import Any, Final, cast

from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.transport.TTransport import TMemoryBuffer

from ..membership.messages import MemberState, Probe, ProbeKind, Rumour
from ..model.ids import Incarnation, Revision, VmId
from ..model.messages import Digest
from .framing import DECODE_ERRORS, BadFrameError
from .generated.ttypes import DigestWire, ProbeWire, RumourWire

__all__ = ('MAX_PROBE_BYTES', 'decode_probe', 'encode_probe')

#: A larger datagram is no probe.
MAX_PROBE_BYTES: Final = 1400
_MAX_RUMOURS: Final = 64
_VERSION: Final = 1

_protocols: Final = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_PROBE_BYTES,
    container_length_limit=_MAX_RUMOURS,
)


def encode_probe(probe: Probe) -> bytes:
    """Encode one probe as the payload of a datagram."""
    wire = ProbeWire(
        version=_VERSION,
        kind=probe.kind.value,
        token=probe.token,
        sender=probe.sender,
        incarnation=probe.incarnation,
        target=probe.target,
        rumours=[_encode_rumour(rumour) for rumour in probe.rumours],
        digest=DigestWire(
            probe.digest.documents_hash,
            probe.digest.highest_revision,
        ),
    )
    transport = TMemoryBuffer()
    wire.write(_protocols.getProtocol(transport))
    return cast(bytes, transport.getvalue())


def decode_probe(payload: bytes) -> Probe:
    """Read one probe.

    :raises BadFrameError: the payload is no probe of this version.
    """
    if len(payload) > MAX_PROBE_BYTES:
        raise BadFrameError('datagram of {0} bytes'.format(len(payload)))
    try:
        return _read_probe(payload)
    except DECODE_ERRORS as error:
        raise BadFrameError(str(error)) from error


def _read_probe(payload: bytes) -> Probe:
    wire: Any = ProbeWire()
    wire.read(_protocols.getProtocol(TMemoryBuffer(payload)))
    wire.validate()
    if wire.version != _VERSION:
        raise ValueError('version {0}'.format(wire.version))
    wire.digest.validate()
    return Probe(
        kind=ProbeKind(wire.kind),
        token=wire.token,
        sender=VmId(wire.sender),
        incarnation=Incarnation(wire.incarnation),
        target=None if wire.target is None else VmId(wire.target),
        rumours=tuple(map(_decode_rumour, wire.rumours)),
        digest=Digest(
            wire.digest.documents_hash,
            Revision(wire.digest.highest_revision),
        ),
    )


def _encode_rumour(rumour: Rumour) -> RumourWire:
    return RumourWire(
        vm=rumour.vm,
        incarnation=rumour.incarnation,
        state=rumour.state.value,
        refutation=rumour.refutation or None,
    )


def _decode_rumour(wire: Any) -> Rumour:
    wire.validate()
    return Rumour(
        vm=VmId(wire.vm),
        incarnation=Incarnation(wire.incarnation),
        state=MemberState(wire.state),
        refutation=wire.refutation or 0,
    )
