"""The catalog takes each item once and never an older one."""

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
def test_prefix_look_up_equals_a_plain_search(letters, data):
    path = '/{0}'.format(''.join(letters))
    prefixes = data.draw(
        st.sets(st.sampled_from(['/', '/a/', '/a/b/', '/b/', '/a/a/'])),
    )
    found = table(*(route('h', each) for each in prefixes)).find('h', path)
    fitting = [each for each in prefixes if path.startswith(each)]
    best = max(fitting, key=len, default=None)
    assert getattr(found, 'prefix', None) == best


def test_least_parts_of_a_share_that_is_not_exact():
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
    """Each key ends as its highest revision says, whichever source comes."""
    items = [
        CatalogItem(key, revision, b'%d' % revision if is_there else None)
        for key, revision, is_there in changes
    ]
    shuffled = [*items, *items]
    random.shuffle(shuffled)
    catalog = Catalog(interpret)
    versions = []
    catalog.on_routes.append(lambda routes: versions.append(routes.version))
    for item in shuffled:
        catalog.apply([item], item.revision)
    by_age = sorted(items, key=lambda each: each.revision)
    newest = {each.key: each for each in by_age}
    newest.pop('routes', None)
    listed = {key for key, each in newest.items() if each.raw}
    assert set(catalog.servers) == listed
    assert versions == sorted(versions)


def test_item_removed_is_not_brought_back_by_an_older_source():
    catalog = Catalog(interpret)
    catalog.apply([CatalogItem('x', 5, b'1')], 5)
    catalog.apply([CatalogItem('x', 7, None)], 7)
    catalog.apply([CatalogItem('x', 5, b'1')], 6)
    assert not catalog.servers
    assert catalog.as_of == 7


def test_what_changed_since_a_revision_includes_removals():
    catalog = Catalog(interpret)
    catalog.apply([CatalogItem('x', 5, b'1'), CatalogItem('y', 6, b'1')], 6)
    catalog.apply([CatalogItem('x', 7, None)], 7)
    assert {item.key for item in catalog.items_since(6)} == {'x'}
    copy = Catalog(interpret)
    copy.apply(catalog.items_since(0), catalog.as_of)
    assert set(copy.servers) == {'y'}


def test_removals_right_after_the_store_returned_are_held_back():
    deferred = DeferredRemovals()
    deferred.start_deferring(1000)
    removal = CatalogItem('x', 9, None)
    assert deferred.filter_items([removal], 1100) == []
    assert deferred.revision_before_deferred(12) == 8
    assert deferred.pop_due(2000) == []
    assert deferred.pop_due(3400) == [removal]
    assert deferred.revision_before_deferred(12) == 12


def test_entry_that_comes_back_is_not_removed():
    deferred = DeferredRemovals()
    deferred.start_deferring(0)
    deferred.filter_items([CatalogItem('x', 9, None)], 100)
    assert deferred.filter_items([CatalogItem('x', 10, b'1')], 900)
    assert deferred.pop_due(9000) == []


def test_removal_holds_at_once_while_the_store_is_well():
    removal = CatalogItem('x', 9, None)
    assert DeferredRemovals().filter_items([removal], 5.0) == [removal]
