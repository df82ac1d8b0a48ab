"""Bytes that cross one VM's network interface for control."""

from dataclasses import dataclass
from typing import Final, final

from dandelionstage.inner.framing import encode_frame
from dandelionstage.inner.messages import InnerMessage, pack
from dandelionstage.inner.probe_codec import encode_probe
from dandelionstage.membership.messages import Probe

__all__ = ('Traffic', 'message_bytes', 'probe_bytes')

#: Headers of IP and UDP.
_DATAGRAM_HEADER_BYTES: Final = 28

#: Headers of IP and TCP, and as much for the acknowledgement.
_SEGMENT_HEADER_BYTES: Final = 104


@final
@dataclass(slots=True)
class Traffic:
    """Counts what one VM sends and receives, headers included."""

    sent_bytes: int = 0
    received_bytes: int = 0
    probes: int = 0
    messages: int = 0


def probe_bytes(probe: Probe) -> int:
    """Give a probe's size on the wire."""
    return len(encode_probe(probe)) + _DATAGRAM_HEADER_BYTES


def message_bytes(message: InnerMessage) -> int:
    """Give an inner message's size on the wire, sent on its own."""
    frames = map(encode_frame, pack([message]))
    return sum(map(len, frames)) + _SEGMENT_HEADER_BYTES
