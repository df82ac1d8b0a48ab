"""Messages by which VMs tell each other of requests that end servers."""

from collections.abc import Sequence
from typing import Final

import msgspec

from ..model.decoding import decode_nested
from ..placing.deadly_requests import TRIAL_MS
from ..placing.server_ends import EndReport, RequestReport

__all__ = ('PREFIX', 'check_request_report', 'decode', 'encode')

#: First byte of these messages; no other message between VMs begins with it.
PREFIX: Final = b'\xc7'
_DIGEST_BYTES: Final = 16
#: More than any VM remembers for one request, and servers of any query.
_MAX_ENDS: Final = 32
_MAX_SERVERS: Final = 100_000


def encode(reports: Sequence[RequestReport]) -> bytes:
    """Encode a message with its prefix."""
    return PREFIX + _encode(reports)


def decode(datagram: bytes) -> list[RequestReport]:
    """Decode and check a message with its prefix.

    :raises msgspec.MsgspecError: if it is no such message.
    :raises ValueError: if a field is out of its range.
    """
    reports = decode_nested(_decode, datagram[len(PREFIX) :])
    for report in reports:
        check_request_report(report)
    return reports


def check_request_report(report: RequestReport) -> None:
    """Check that a report can be true, as it is kept and passed on.

    :raises ValueError: if a field is out of its range.
    """
    is_valid = (
        len(report.digest) == _DIGEST_BYTES
        and len(report.ends) <= _MAX_ENDS
        and 0 <= report.trial_left_ms <= TRIAL_MS
        and (report.answered_age_ms or 0) >= 0
    )
    is_valid = is_valid and all(map(_is_possible, report.ends))
    if not is_valid:
        raise ValueError('{0!a:.200}'.format(report))


def _is_possible(end: EndReport) -> bool:
    return (
        0 < end.servers <= _MAX_SERVERS
        and 0 <= end.ended_age_ms <= end.sent_age_ms
        and 0 < end.succession <= _MAX_SERVERS
    )


_encode: Final = msgspec.msgpack.Encoder().encode
_decode: Final = msgspec.msgpack.Decoder(list[RequestReport]).decode
