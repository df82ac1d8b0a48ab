"""Entries of the store that another writer left."""

import asyncio
import json
from types import MappingProxyType

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.catalog.catalog import Catalog, CatalogItem, Change
from dandelionstage.catalog.positions import StoreRevision
from dandelionstage.gateway.clock import now_ms
from dandelionstage.operations.events import EventLog
from dandelionstage.platform.entry_parser import EntryParser
from tools.standins.platform.place import Platform

from .test_platform_nodes import (
    QUERY,
    SHARDS,
    is_usable,
    request_path,
    version_at,
)

ENTRY = MappingProxyType(
    {
        'service': 's1',
        'address': '127.0.0.1:8080',
        'zone': 'a',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'warmupLeftMs': 0,
        'seq': 1,
        'born': 1,
    }
)
NUMBERS = ('slots', 'warmupLeftMs', 'seq', 'born')
#: More levels than a decoder takes.
LEVELS = (1000, 1200, 100_000)
LONGEST_LINE = 1000
_MARK = '"mark"'


def with_raw(field, raw):
    """Return an entry in which a field has a value in raw form."""
    return json.dumps({**ENTRY, field: 'mark'}).replace(_MARK, raw).encode()


def nested(levels):
    return '{0}{1}'.format('[' * levels, ']' * levels)


ODD_VALUES = (
    *(with_raw('version', nested(levels)) for levels in LEVELS),
    *(with_raw('slots', nested(levels)) for levels in LEVELS),
    nested(LEVELS[-1]).encode(),
    *(with_raw(field, '9' * 5000) for field in NUMBERS),
    *(with_raw(field, '9' * 400) for field in ('slots', 'seq', 'born')),
    *(with_raw(field, '9' * 20) for field in ('slots', 'seq', 'born')),
    *(with_raw(field, '1e400') for field in NUMBERS),
    *(with_raw(field, '-1') for field in ('slots', 'seq', 'born')),
)
ODD_ADDRESSES = (
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:99999999',
    '127.0.0.1:{0}'.format('9' * 400),
    '127.0.0.1:{0}'.format('9' * 5000),
    '127.0.0.1:-1',
    '127.0.0.1: 80',
    '127.0.0.1:8_0',
    '127.0.0.1:\u0661',
    '127.0.0.1:\u00b2',
    '127.0.0.1',
    ':80',
    '127.0.0:80',
    '127.0.0.1.1:80',
    '300.0.0.1:80',
    'a.example:80',
    '127.0.0.1\x00:80',
    '[::1]:80',
    'x' * 100_000,
)
ODD_IDS = ('', 'i 1', 'i-1\r\nX-Request-Id: r', 'i-\u00e9', 'i-\x00', 'i-\x7f')


def parse(key, raw):
    """Return the change that an entry makes, and what was logged."""
    lines = []
    log = EventLog(lines.append, now_ms)
    change = EntryParser(log)(CatalogItem(key, StoreRevision(1), raw))
    log.flush()
    return change, b''.join(lines)


def with_address(address):
    return json.dumps({**ENTRY, 'address': address}).encode()


def test_entry_without_a_fault_names_a_server():
    change, _ = parse('servers/i-1', json.dumps({**ENTRY}).encode())
    assert change.server is not None


@pytest.mark.parametrize(
    'raw', [*ODD_VALUES, *map(with_address, ODD_ADDRESSES)], ids=len
)
def test_odd_entry_names_no_server(raw):
    """Regression: nested lists ended the task that reads the store.

    After a restart of all VMs, none read the entries behind it.
    """
    change, logged = parse('servers/i-1', raw)
    assert change == Change(removed_server='i-1')
    assert b'entry_unreadable' in logged
    assert len(logged) < LONGEST_LINE


@pytest.mark.parametrize('server', ODD_IDS)
def test_id_that_no_header_can_hold_names_no_server(server):
    raw = json.dumps({**ENTRY}).encode()
    change, logged = parse('servers/{0}'.format(server), raw)
    assert change == Change(removed_server=server)
    assert b'entry_unreadable' in logged


@pytest.mark.parametrize('raw', [b'{}', with_raw('state', '"odd"')])
def test_vms_agree_on_a_server_whose_entry_became_unreadable(raw):
    """Regression: VMs went on with the last entry that they had read.

    One that started later did not know it.
    """
    log = EventLog(len, now_ms)
    readable = json.dumps({**ENTRY}).encode()
    items = [
        CatalogItem('servers/i-1', StoreRevision(1), readable),
        CatalogItem('servers/i-1', StoreRevision(2), raw),
        CatalogItem('servers/i-2', StoreRevision(3), readable),
    ]
    running_since, started_later = (Catalog(EntryParser(log)) for _ in '12')
    for item in items:
        running_since.apply([item], item.revision)
    started_later.apply(items[1:], items[-1].revision)
    assert set(started_later.servers) == {'i-2'}
    assert set(running_since.servers) == {'i-2'}


def test_server_is_used_again_with_its_next_readable_entry():
    catalog = Catalog(EntryParser(EventLog(len, now_ms)))
    readable = json.dumps({**ENTRY}).encode()
    for number, raw in enumerate((readable, b'{}', readable), 1):
        item = CatalogItem('servers/i-1', StoreRevision(number), raw)
        catalog.apply([item], item.revision)
    assert set(catalog.servers) == {'i-1'}


def test_routes_stay_in_force_when_their_entry_becomes_unreadable():
    change, logged = parse('op/config', b'{}')
    assert change == Change()
    assert b'entry_unreadable' in logged


_json = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), _json))
def test_entry_with_fields_of_other_types_raises_nothing(fields):
    raw = json.dumps({**ENTRY, **fields}).encode()
    parse('servers/i-1', raw)


@given(st.binary(max_size=200))
def test_entry_of_any_bytes_raises_nothing(raw):
    parse('servers/i-1', raw)
    parse('op/config', raw)


def test_vm_starts_and_goes_on_with_odd_entries(tmp_path):
    """Guards against the same with a real store, and in a batch of changes."""
    odd = (*ODD_VALUES, *map(with_address, ODD_ADDRESSES))

    async def scenario():
        async with Platform(80, tmp_path) as platform:
            platform.plan_hosts(1)
            for service in SHARDS:
                await platform.add_server(service)
            put_all(platform.store, odd)
            platform.publish(3, [QUERY])
            node = await platform.start_node(0)
            await platform.until(lambda: is_usable(node), timeout_s=3)
            put_all(platform.store, odd)
            platform.publish(5, [QUERY])
            await platform.until(lambda: version_at(node) == 5, timeout_s=3)
            assert (await request_path(node, '/q/x')).status_code == 200
            events = {line['event'] for line in platform.lines['front-a-0']}
            assert not events & {'task_failed', 'callback_failed'}

    asyncio.run(scenario())


def put_all(store, values):
    for number, raw in enumerate(values):
        store.put('servers/a-{0}'.format(number), raw)
