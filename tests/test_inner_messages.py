"""Every message survives the wire, and no bytes break the reader."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.inner.framing import (
    MAX_FRAME_BYTES,
    BadFrameError,
    FrameBuffer,
    encode_frame,
)
from dandelionstage.inner.messages import (
    CancelCall,
    Hello,
    InnerMessage,
    Ping,
    Pong,
    pack,
    unpack,
)
from dandelionstage.model.contract import Priority
from dandelionstage.model.documents import Document
from dandelionstage.model.messages import (
    ActionCall,
    ActionOutcome,
    Documents,
    LeaseGrant,
    LeaseRequest,
    Leaving,
    OwnerKey,
    Part,
    Pin,
    Pull,
    Record,
    SubReply,
    SubRequest,
)
from dandelionstage.model.verdict import Reason, Run, Verdict

texts = st.text(max_size=8)
numbers = st.integers(0, 2**40)
times = st.floats(0, 1e6)
pins = st.builds(Pin, texts, numbers)
verdicts = st.builds(
    Verdict,
    st.sampled_from(Run),
    st.sampled_from(Reason),
    st.integers(0, 9999),
    texts,
)
parts = st.builds(
    Part,
    texts,
    texts,
    pins,
    st.lists(st.builds(Record, texts, texts), max_size=3).map(tuple),
)
documents = st.builds(Document, texts, numbers, st.binary(max_size=9))

messages = st.one_of(
    st.builds(Hello, texts, numbers, texts, st.integers(0, 99)),
    st.builds(
        SubRequest,
        texts,
        texts,
        texts,
        st.builds(OwnerKey, texts, texts, texts),
        pins,
        st.lists(texts, max_size=3).map(tuple),
        st.sampled_from(Priority),
        times,
        texts,
        st.booleans(),
        st.booleans(),
    ),
    st.builds(
        SubReply,
        texts,
        verdicts,
        texts,
        st.none() | parts,
        st.none() | texts,
        st.lists(texts, max_size=2).map(tuple),
        times,
        times,
    ),
    st.builds(CancelCall, texts),
    st.builds(Ping, numbers),
    st.builds(Pong, numbers),
    st.builds(ActionCall, texts, texts, texts, texts, texts, texts, times),
    st.builds(ActionOutcome, texts, verdicts, texts),
    st.builds(Pull, texts, st.dictionaries(texts, numbers, max_size=3)),
    st.builds(Documents, texts, st.lists(documents, max_size=3).map(tuple)),
    st.builds(LeaseRequest, texts, texts, times),
    st.builds(LeaseGrant, texts, texts, times, numbers),
    st.builds(Leaving, texts, numbers),
)


def read_all(chunks: list[bytes]) -> list[InnerMessage]:
    buffer = FrameBuffer()
    return [
        message
        for chunk in chunks
        for envelope in buffer.feed(chunk)
        for message in unpack(envelope)
    ]


@given(st.lists(messages, min_size=1, max_size=6), st.integers(1, 50))
def test_messages_survive_the_wire(sent, chunk_size):
    stream = b''.join(map(encode_frame, pack(sent)))
    chunks = [
        stream[start : start + chunk_size]
        for start in range(0, len(stream), chunk_size)
    ]
    received = read_all(chunks)
    assert sorted(map(repr, received)) == sorted(map(repr, sent))


@given(
    st.lists(messages, min_size=1, max_size=4),
    st.lists(st.tuples(st.integers(0), st.integers(0, 255)), max_size=6),
    st.integers(0, 40),
)
def test_damaged_frames_are_refused(sent, damages, cut):
    stream = bytearray(b''.join(map(encode_frame, pack(sent))))
    for position, octet in damages:
        stream[position % len(stream)] = octet
    try:
        read_all([bytes(stream[: len(stream) - cut])])
    except BadFrameError:
        return


def test_too_large_frame_is_refused_before_it_comes():
    header = (MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
    with pytest.raises(BadFrameError):
        read_all([header])


def test_missing_field_is_refused():
    envelope = next(pack([Ping(1)]))
    envelope.ping.token = None
    stream = encode_frame(envelope)
    with pytest.raises(BadFrameError):
        read_all([stream])
