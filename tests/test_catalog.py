"""Catalog merging, route lookup and deferred removals."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.catalog.catalog import Catalog, CatalogItem, Change
from dandelionstage.catalog.deferred_removals import DeferredRemovals
from dandelionstage.catalog.routes import (
    CallerLimits,
    Gather,
    RepeatPolicy,
    Route,
    RouteTable,
)
from dandelionstage.catalog.servers import ServerRecord, ServerState


def record(server, state=ServerState.LIVE):
    return ServerRecord(server, 's', 'h', 1, 'dc', 2, state)


def interpret(item):
    if item.key == 'routes':
        version = int(item.raw) if item.raw else 0
        table = RouteTable(version, (), {}, CallerLimits())
        return Change(routes=table if item.raw else None)
    if item.raw is None:
        return Change(removed_server=item.key)
    return Change(server=record(item.key))


def route(host, prefix):
    return Route(prefix, host, prefix, RepeatPolicy.ONCE, 1, 1, 1, 0)


def table(*routes):
    return RouteTable(1, routes, {}, CallerLimits())


def test_longest_prefix_wins():
    routes = table(route('h', '/a/'), route('h', '/a/b/'), route('h', '/'))
    assert routes.find('h', '/a/b/c').prefix == '/a/b/'
    assert routes.find('h', '/a/bc').prefix == '/a/'
    assert routes.find('h', '/a').prefix == '/'
    assert routes.find('other', '/a/') is None


@given(st.lists(st.sampled_from('ab/'), max_size=8), st.data())
def test_prefix_lookup_equals_a_linear_search(letters, data):
    path = '/{0}'.format(''.join(letters))
    prefixes = data.draw(
        st.sets(st.sampled_from(['/', '/a/', '/a/b/', '/b/', '/a/a/'])),
    )
    found = table(*(route('h', each) for each in prefixes)).find('h', path)
    matching = [each for each in prefixes if path.startswith(each)]
    best = max(matching, key=len, default=None)
    assert getattr(found, 'prefix', None) == best


def test_least_parts_allows_for_inexact_floating_point():
    shards = tuple(map(str, range(20)))
    assert Gather(shards, 1, 0.9).least_parts == 18
    assert Gather(shards, 1, 0.89).least_parts == 18
    assert Gather(shards, 1, 0.75).least_parts == 15
    assert Gather(shards, 1, 0).least_parts == 1


_items = st.lists(
    st.tuples(
        st.sampled_from(['x', 'y', 'routes']),
        st.integers(1, 30),
        st.booleans(),
    ),
    max_size=30,
    unique_by=lambda each: each[1],
)


@given(_items, st.randoms(use_true_random=False))
def test_any_order_of_arrival_gives_the_same_catalog(changes, random):
    """The highest revision of each key wins in any order of delivery."""
    items = [
        CatalogItem(key, revision, b'%d' % revision if is_present else None)
        for key, revision, is_present in changes
    ]
    shuffled = [*items, *items]
    random.shuffle(shuffled)
    catalog = Catalog(interpret)
    versions = []
    catalog.on_routes.append(lambda routes: versions.append(routes.version))
    for item in shuffled:
        catalog.apply([item], item.revision)
    by_revision = sorted(items, key=lambda each: each.revision)
    newest = {each.key: each for each in by_revision}
    newest.pop('routes', None)
    listed = {key for key, each in newest.items() if each.raw}
    assert set(catalog.servers) == listed
    assert versions == sorted(versions)


def test_removed_item_is_not_restored_by_an_older_source():
    catalog = Catalog(interpret)
    catalog.apply([CatalogItem('x', 5, b'1')], 5)
    catalog.apply([CatalogItem('x', 7, None)], 7)
    catalog.apply([CatalogItem('x', 5, b'1')], 6)
    assert not catalog.servers
    assert catalog.as_of == 7


def test_items_since_a_revision_include_removals():
    catalog = Catalog(interpret)
    catalog.apply([CatalogItem('x', 5, b'1'), CatalogItem('y', 6, b'1')], 6)
    catalog.apply([CatalogItem('x', 7, None)], 7)
    assert {item.key for item in catalog.items_since(6)} == {'x'}
    copy = Catalog(interpret)
    copy.apply(catalog.items_since(0), catalog.as_of)
    assert set(copy.servers) == {'y'}


def test_removals_right_after_a_store_outage_are_deferred():
    deferred = DeferredRemovals()
    deferred.start_deferring(1000)
    removal = CatalogItem('x', 9, None)
    assert deferred.filter_items([removal], 1100) == []
    assert deferred.revision_before_deferred(12) == 8
    assert deferred.pop_due(2000) == []
    assert deferred.pop_due(3400) == [removal]
    assert deferred.revision_before_deferred(12) == 12


def test_restored_entry_is_not_removed():
    deferred = DeferredRemovals()
    deferred.start_deferring(0)
    deferred.filter_items([CatalogItem('x', 9, None)], 100)
    assert deferred.filter_items([CatalogItem('x', 10, b'1')], 900)
    assert deferred.pop_due(9000) == []


def test_removals_wait_for_the_end_of_a_second_outage():
    deferred = DeferredRemovals()
    deferred.start_deferring(0)
    removal = CatalogItem('x', 9, None)
    deferred.filter_items([removal], 100)
    deferred.start_deferring(2000)
    # A call of the first outage that is noted late.
    deferred.start_deferring(1000)
    assert deferred.pop_due(3400) == []
    assert deferred.next_due_ms() == 4300
    assert deferred.pop_due(4300) == [removal]
    assert deferred.next_due_ms() is None


def test_removal_without_an_outage_applies_at_once():
    removal = CatalogItem('x', 9, None)
    assert DeferredRemovals().filter_items([removal], 5.0) == [removal]
