"""Decoders of what others write, fed with what nobody should write."""

import math
from contextlib import suppress
from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.catalog.catalog import Catalog, CatalogItem
from dandelionstage.operations.events import EventLog
from dandelionstage.placing.budget_loans import Loan
from dandelionstage.placing.server_ends import EndReport, RequestReport
from dandelionstage.placing.server_limits import LimitReport
from dandelionstage.platform.entry_parser import EntryParser
from dandelionstage.platform.settings_file import SettingsError, SettingsFile
from dandelionstage.platform.store_bodies import (
    decode_page,
    decode_watch_result,
)
from dandelionstage.relaying import messages as relaying
from dandelionstage.spread import deadly_messages, permit_messages
from dandelionstage.spread.messages import (
    Hello,
    KnownMember,
    PullRequest,
    decode_hello,
    decode_pull_request,
    encode,
)

LIMIT = LimitReport('s', 1, 2.5, 3)
END = EndReport(1, 2, 4, 3, 1)
HELLO = Hello(
    3,
    '1.2.3.4:5',
    'a',
    7,
    True,
    False,
    True,
    [],
    [('s', 4.0)],
    1.0,
    Loan(0.5, 9.0),
    [LIMIT],
    1,
    2,
    [('s', 4)],
)
PARTS = relaying.PartsReport(1, [], {'s': ['i']}, True, True)
#: A decoder, a document that it takes, and the prefix of its messages.
BINARY = (
    (decode_hello, HELLO, b''),
    (decode_pull_request, PullRequest(3, 7), b''),
    (
        permit_messages.decode,
        permit_messages.PermitRequest(LIMIT, 2, 1.0),
        permit_messages.PREFIX,
    ),
    (
        deadly_messages.decode,
        [RequestReport(b'd' * 16, [END], 1, 2, 3)],
        deadly_messages.PREFIX,
    ),
    (relaying.decode, relaying.RelayCancel(1), b''),
    (relaying.decode, PARTS, b''),
)
ITEM = MappingProxyType({'key': 'a', 'revision': 3, 'value': 'e30='})
PAGE = MappingProxyType({'items': [dict(ITEM)], 'asOf': 5, 'hasMore': False})
WATCH = MappingProxyType({'events': [dict(ITEM)], 'asOf': 5})
DEEP = b'[' * 100_000
ENTRY_KEYS = ('routes', 'server/s/i-1', 'op/evacuate/a', 'x')

odd_leaves = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=20),
)
odd_values = st.recursive(
    odd_leaves,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)


def mutated(document, data):
    """Replace, add or remove something at one place of a document."""
    if isinstance(document, (list, tuple)) and data.draw(st.booleans()):
        whole = list(document)
        place = data.draw(st.integers(0, len(whole)))
        if place < len(whole):
            whole[place] = mutated(whole[place], data)
        else:
            whole.append(data.draw(odd_values))
        return whole
    if isinstance(document, dict) and document and data.draw(st.booleans()):
        name = data.draw(st.sampled_from(sorted(document)))
        return {**document, name: mutated(document[name], data)}
    return data.draw(odd_values)


@pytest.mark.parametrize(('decode', 'document', 'prefix'), BINARY)
@given(data=st.data())
def test_mutated_messages_of_vms_are_taken_or_refused(
    decode, document, prefix, data
):
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(document))
    encoded = msgspec.msgpack.encode(mutated(plain, data))
    for datagram in (encoded, data.draw(st.binary(max_size=40))):
        with suppress(msgspec.MsgspecError, ValueError):
            decode(b''.join((prefix, datagram)))


@pytest.mark.parametrize(('decode', 'document', 'prefix'), BINARY)
def test_too_many_levels_in_a_field_of_a_later_version_are_refused(
    decode, document, prefix
):
    """Regression: the error was none that the readers expect."""
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(document))
    if isinstance(plain[0], list):
        plain = plain[0]
        prefix = b'%b\x91' % prefix
    fields = b''.join(map(msgspec.msgpack.encode, plain))
    count = (len(plain) + 1).to_bytes(2)
    levels = b'\x91' * 60_000
    with pytest.raises(msgspec.MsgspecError):
        decode(b'%b\xdc%b%b%b\xc0' % (prefix, count, fields, levels))


@pytest.mark.parametrize(
    'hello',
    [
        msgspec.structs.replace(HELLO, loan=Loan(0.5, math.inf)),
        msgspec.structs.replace(HELLO, loan=Loan(math.nan, 9.0)),
        msgspec.structs.replace(HELLO, slow=[('s', math.inf)]),
        msgspec.structs.replace(HELLO, slow=[('s', math.nan)]),
        msgspec.structs.replace(
            HELLO, known=[KnownMember('x', 'a', 1, has_store=False)]
        ),
    ],
)
def test_hello_with_a_value_that_would_last_is_refused(hello):
    with pytest.raises(ValueError, match=r'.'):
        decode_hello(encode(hello))


@pytest.mark.parametrize(
    ('decode', 'document'), [(decode_page, PAGE), (decode_watch_result, WATCH)]
)
@given(data=st.data())
def test_mutated_bodies_of_the_store_are_taken_or_refused(
    decode, document, data
):
    text = msgspec.json.encode(mutated(dict(document), data))
    with suppress(msgspec.MsgspecError, ValueError):
        decode(text, 1)


@pytest.mark.parametrize('field', [b'"items":', b'"events":', b'"later":'])
@pytest.mark.parametrize('decode', [decode_page, decode_watch_result])
def test_too_many_levels_in_a_body_of_the_store_are_refused(decode, field):
    with pytest.raises(msgspec.MsgspecError):
        decode(b''.join((b'{', field, DEEP)), 1)


@given(data=st.data())
def test_no_entry_hides_those_after_it(data):
    catalog = Catalog(EntryParser(EventLog(len, float)))
    raw = data.draw(
        st.binary(max_size=40) | odd_values.map(msgspec.json.encode)
    )
    items = [CatalogItem(key, 3, raw) for key in ENTRY_KEYS]
    catalog.apply([*items, CatalogItem('op/evacuate/b', 4, b'{}')], 4)
    assert 'b' in list(catalog.evacuations)


@pytest.mark.parametrize(
    'text', [DEEP, b''.join((b'{"later":', DEEP)), b'', b'null', b'{}']
)
def test_settings_that_are_none_are_refused(tmp_path, text):
    """Regression: too many levels ended the process, or its reloading."""
    path = tmp_path / 'boot'
    path.write_bytes(text)
    with pytest.raises(SettingsError):
        SettingsFile(str(path))
