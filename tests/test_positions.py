"""Catalogs of VMs over restores of the store, in any order of messages."""

from random import Random
from types import MappingProxyType

import pytest

from dandelionstage.catalog.catalog import Catalog, CatalogItem, Change
from dandelionstage.catalog.older_entries import OlderEntries
from dandelionstage.catalog.positions import era_of, position, revision_of
from dandelionstage.catalog.routes import CallerLimits, RouteTable
from dandelionstage.catalog.servers import ServerRecord, ServerState
from dandelionstage.gateway.clock import now_ms
from dandelionstage.operations.events import EventLog
from dandelionstage.spread.messages import decode_pull_reply, encode
from dandelionstage.spread.pulls import PullLimits, Puller, build_pull_reply

_DRAINING = b'd'


def interpret(item):
    """Read an entry of the form ``start.sequence``, drained with a ``d``."""
    if item.key == 'routes':
        return Change(
            routes=RouteTable(int(item.raw), (), {}, CallerLimits())
            if item.raw
            else None
        )
    if item.raw is None:
        return Change(removed_server=item.key)
    started, _, sequence = item.raw.rstrip(_DRAINING).partition(b'.')
    is_draining = item.raw.endswith(_DRAINING)
    return Change(
        server=ServerRecord(
            server=item.key,
            service='s',
            host='h',
            port=1,
            data_centre='a',
            slots=2,
            state=ServerState.DRAINING if is_draining else ServerState.LIVE,
            started_ms=int(started),
            sequence=int(sequence),
        )
    )


def catalog_of(*items):
    catalog = Catalog(interpret)
    apply(catalog, *items)
    return catalog


def apply(catalog, *items):
    """Apply items given as key, era, revision and value."""
    made = [
        CatalogItem(key, position(era, revision), raw)
        for key, era, revision, raw in items
    ]
    catalog.apply(made, max(item.revision for item in made))


def version(catalog):
    return catalog.routes.version


@pytest.mark.parametrize('era', [0, 1, 7, 999_999])
@pytest.mark.parametrize('revision', [0, 1, 53, 2**40 - 1])
def test_position_holds_era_and_revision(era, revision):
    at = position(era, revision)
    assert (era_of(at), revision_of(at)) == (era, revision)
    assert at < position(era + 1, 0)


@pytest.mark.parametrize('revision', [-1, 2**40])
def test_revision_out_of_range_is_refused(revision):
    with pytest.raises(ValueError, match='out of range'):
        position(1, revision)


def test_change_at_a_revision_that_was_given_out_again_is_applied():
    catalog = catalog_of(('routes', 1, 53, b'11'))
    apply(catalog, ('routes', 2, 52, b'11'))
    apply(catalog, ('routes', 2, 53, b'13'))
    assert version(catalog) == 13


def test_older_routes_of_a_copy_are_not_used_or_passed_on():
    catalog = catalog_of(('routes', 1, 53, b'11'))
    apply(catalog, ('routes', 2, 40, b'8'))
    assert version(catalog) == 11
    late = catalog_of(('routes', 0, 1, b'1'))
    late.apply(catalog.items_since(position(0, 1)), catalog.as_of)
    assert version(late) == 11


def test_unchanged_entry_causes_no_update():
    """Guards against servers that count as cold again after a restore."""
    catalog = catalog_of(('i-1', 1, 5, b'1.3'))
    updated = []
    catalog.on_server_updated.append(updated.append)
    apply(catalog, ('i-1', 2, 4, b'1.3'))
    assert not updated


@pytest.mark.parametrize(
    ('raw', 'is_used'),
    [(b'1.3', False), (b'1.2', False), (b'1.4', True), (b'2.1', True)],
)
def test_removed_server_is_used_only_if_it_wrote_since(raw, is_used):
    catalog = catalog_of(('i-1', 1, 5, b'1.3'))
    apply(catalog, ('i-1', 1, 6, None))
    apply(catalog, ('i-1', 2, 5, raw))
    assert ('i-1' in catalog.servers) is is_used


def test_entry_that_the_store_keeps_is_used():
    catalog = catalog_of(('i-1', 1, 5, b'1.3'))
    apply(catalog, ('i-1', 1, 6, None))
    apply(catalog, ('i-1', 2, 5, b'1.3'))
    older = OlderEntries(4800)
    assert not older.list_kept(catalog.older_entries(), 0)
    assert not older.list_kept(catalog.older_entries(), 4700)
    for entry in older.list_kept(catalog.older_entries(), 4800):
        catalog.accept_older(entry)
    assert 'i-1' in catalog.servers
    assert not catalog.older_entries()


def test_entry_that_was_accepted_is_passed_on_as_any_other():
    catalog = catalog_of(('i-1', 1, 5, b'1.3'))
    apply(catalog, ('i-1', 1, 6, None))
    apply(catalog, ('i-1', 2, 5, b'1.3'))
    late = catalog_of(('routes', 0, 1, b'1'))
    late.apply(catalog.items_since(position(0, 1)), catalog.as_of)
    assert 'i-1' not in late.servers
    for vm in (catalog, late):
        for entry in vm.older_entries():
            vm.accept_older(entry)
        assert 'i-1' in vm.servers
        items = vm.items_since(position(0, 1))
        assert not any(item.is_older for item in items)


@pytest.mark.parametrize('known', [b'1.3', b'1.2'])
def test_vm_that_missed_a_removal_learns_of_it_with_the_older_entry(known):
    """Guards against a server that left and comes back with a copy."""
    catalog = catalog_of(('i-1', 1, 5, b'1.3'))
    apply(catalog, ('i-1', 1, 6, None))
    apply(catalog, ('i-1', 2, 5, b'1.3'))
    behind = catalog_of(('i-1', 1, 4, known))
    behind.apply(catalog.items_since(position(1, 4)), catalog.as_of)
    assert 'i-1' not in behind.servers


def test_draining_server_takes_no_new_work_after_a_restore():
    catalog = catalog_of(('i-1', 1, 5, b'1.3'))
    apply(catalog, ('i-1', 1, 6, b'1.4d'))
    apply(catalog, ('i-1', 2, 5, b'1.3'))
    assert catalog.servers['i-1'].state is ServerState.DRAINING
    apply(catalog, ('i-1', 1, 7, None), ('i-1', 2, 6, None))
    assert not catalog.older_entries()


def test_older_entry_that_expires_is_forgotten():
    catalog = catalog_of(('i-1', 1, 5, b'1.3'))
    apply(catalog, ('i-1', 1, 6, None))
    apply(catalog, ('i-1', 2, 5, b'1.3'))
    apply(catalog, ('i-1', 2, 9, None))
    assert not catalog.older_entries()
    assert catalog.keys_missing_from([]) == []


class _Store:
    """Store whose entries change at random, and that is restored at times."""

    def __init__(self, random):
        self.random = random
        self.era = 1
        self.revision = 1
        self.items = {'routes': (1, b'1')}
        self.version = 1
        self.sequence = 0
        self.copy = (1, dict(self.items))

    @property
    def as_of(self):
        return position(self.era, self.revision)

    def change(self):
        self.revision += 1
        key = self.random.choice(['routes', 'i-1', 'i-2', 'i-3'])
        self.sequence += 1
        if key == 'routes':
            self.version += self.random.randint(1, 3)
            self.items[key] = (self.revision, b'%d' % self.version)
        elif key in self.items and self.random.choice((True, False)):
            self.items.pop(key)
        else:
            self.items[key] = (self.revision, b'1.%d' % self.sequence)

    def save(self):
        self.copy = (self.revision, dict(self.items))

    def restore(self):
        """Go back to the copy; the operator and the servers write again."""
        newest = dict(self.items)
        self.era += 1
        self.revision = self.copy[0]
        items = self.copy[1]
        self.items = dict(items)
        for key in sorted({*newest, *items}):
            self.revision += 1
            if key not in newest:
                # The server is gone, so its entry expires.
                self.items.pop(key)
            elif newest[key] != items.get(key):
                self.items[key] = (self.revision, newest[key][1])

    def read(self, catalog):
        """Let a VM read all items, as it does in a new era."""
        items = [
            CatalogItem(key, position(self.era, revision), raw)
            for key, (revision, raw) in self.items.items()
        ]
        items += [
            CatalogItem(key, self.as_of, None)
            for key in catalog.keys_missing_from(self.items)
        ]
        catalog.note_complete_read(self.as_of)
        catalog.apply(items, self.as_of)


class _Vm:
    """Catalog of a VM, and the newest version of its routes."""

    def __init__(self):
        self.start()

    def start(self):
        self.catalog = Catalog(interpret)
        self._version = 0

    def pull(self, sender):
        as_of = self.catalog.as_of
        if sender.catalog.as_of > as_of:
            puller = Puller(
                self.catalog,
                EventLog(len, now_ms),
                PullLimits.within(150),
                lambda: None,
            )
            reply = build_pull_reply(sender.catalog, as_of)
            puller._apply('10.0.0.1:1', decode_pull_reply(encode(reply)))

    def check(self):
        routes = self.catalog.routes
        if routes is not None:
            assert routes.version >= self._version
            self._version = routes.version


_ACTIONS = MappingProxyType(
    {
        'change': lambda store, vm, other: store.change(),
        'restore': lambda store, vm, other: store.restore(),
        'copy': lambda store, vm, other: store.save(),
        'start': lambda store, vm, other: vm.start(),
        'read': lambda store, vm, other: store.read(vm.catalog),
        'pull': lambda store, vm, other: vm.pull(other),
    }
)


@pytest.mark.parametrize('seed', range(150))
def test_all_vms_agree_with_the_store_after_any_restores(seed):
    """Guards against routes, servers or removals of a history that is gone."""
    random = Random(seed)
    store = _Store(random)
    vms = [_Vm() for _ in range(4)]
    actions = {
        'change': 8,
        'restore': 1,
        'copy': 1,
        'start': 1,
        'read': 3,
        'pull': 6,
    }
    for action in random.choices(tuple(actions), tuple(actions.values()), k=60):
        vm = random.choice(vms)
        _ACTIONS[action](store, vm, random.choice(vms))
        vm.check()
    store.change()
    store.read(vms[0].catalog)
    expected = {key for key in store.items if key != 'routes'}
    for vm in vms:
        vm.pull(vms[0])
        assert vm.catalog.routes.version == store.version
        assert set(vm.catalog.servers) == expected
