"""Messages by which VMs request permits to send to limited servers."""

import math
from typing import Final, final

import msgspec

from ..model.decoding import decode_nested
from ..placing.server_limits import LimitReport

__all__ = (
    'PREFIX',
    'PermitReply',
    'PermitRequest',
    'check_report',
    'decode',
    'encode',
)

#: First byte of these messages; no hello begins with it, as MessagePack does
#: not use it.
PREFIX: Final = b'\xc1'
_MAX_PERMITS: Final = 1000


@final
class PermitRequest(msgspec.Struct, array_like=True, tag=1):
    """Requests permits for one server.

    :ivar limit: what the sender knows of the server's limit.
    :ivar asked_ms: time by the sender's clock; identifies the request.
    :ivar cold_per_s: rate that the server takes while it is cold, 0 if the
        sender does not take it for cold.
    """

    limit: LimitReport
    wanted: int
    asked_ms: float
    cold_per_s: float = 0


@final
class PermitReply(msgspec.Struct, array_like=True, tag=2):
    """Grants permits, or none.

    :ivar limit: what the sender knows of the server's limit.
    :ivar retry_ms: time after which to request again if none are granted.
    :ivar asked_ms: the same as in the request.
    """

    limit: LimitReport
    count: int
    retry_ms: float
    asked_ms: float


def encode(message: PermitRequest | PermitReply) -> bytes:
    """Encode a message with its prefix."""
    return PREFIX + _encode(message)


def decode(datagram: bytes) -> PermitRequest | PermitReply:
    """Decode and check a message with its prefix.

    :raises msgspec.MsgspecError: if it is no such message.
    :raises ValueError: if a field is out of its range.
    """
    message = decode_nested(_decode, datagram[len(PREFIX) :])
    check_report(message.limit)
    if isinstance(message, PermitRequest):
        is_valid = 0 < message.wanted <= _MAX_PERMITS and (
            0 <= message.cold_per_s < math.inf
        )
    else:
        is_valid = 0 <= message.count <= _MAX_PERMITS and (
            0 <= message.retry_ms < math.inf
        )
    if not is_valid:
        raise ValueError('{0!a:.200}'.format(message))
    return message


def check_report(report: LimitReport) -> None:
    """Check that a report can be true.

    :raises ValueError: if the limit or the age is out of its range.
    """
    if not (math.isfinite(report.per_s) and report.per_s >= 0):
        raise ValueError('limit of {0} a second'.format(report.per_s))
    if report.age_ms < 0:
        raise ValueError('a limit was read in the future')


_encode: Final = msgspec.msgpack.Encoder().encode
_decode: Final = msgspec.msgpack.Decoder(PermitRequest | PermitReply).decode
