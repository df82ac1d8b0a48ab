"""Probes survive their encoding, and no datagram does harm."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.inner.framing import BadFrameError
from dandelionstage.inner.probe_codec import decode_probe, encode_probe
from dandelionstage.membership.messages import (
    MemberState,
    Probe,
    ProbeKind,
    Rumour,
)
from dandelionstage.model.ids import Incarnation, VmId
from dandelionstage.model.messages import Digest

_VMS = st.text(min_size=1, max_size=12).map(VmId)
_LONGS = st.integers(0, (1 << 63) - 1)
_INCARNATIONS = _LONGS.map(Incarnation)
_RUMOURS = st.builds(
    Rumour,
    _VMS,
    _INCARNATIONS,
    st.sampled_from(MemberState),
    st.integers(0, 1000),
)
_PROBES = st.builds(
    Probe,
    st.sampled_from(ProbeKind),
    _LONGS,
    _VMS,
    _INCARNATIONS,
    st.none() | _VMS,
    st.lists(_RUMOURS, max_size=8).map(tuple),
    st.builds(Digest, _LONGS, _LONGS),
)


@given(_PROBES)
def test_a_probe_comes_back_as_it_was(probe):
    assert decode_probe(encode_probe(probe)) == probe


@given(_PROBES, st.data())
def test_a_damaged_datagram_is_read_or_refused(probe, choices):
    payload = bytearray(encode_probe(probe))
    index = choices.draw(st.integers(0, len(payload) - 1))
    payload[index] = choices.draw(st.integers(0, 255))
    cut = choices.draw(st.integers(0, len(payload)))
    _try_decode(bytes(payload))
    _try_decode(bytes(payload[:cut]))


@given(st.binary(max_size=200))
def test_a_random_datagram_is_read_or_refused(payload):
    _try_decode(payload)


def _try_decode(payload: bytes) -> None:
    try:
        decode_probe(payload)
    except BadFrameError:
        return
