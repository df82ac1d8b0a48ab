"""Reads of the store that are put together from several answers."""

import asyncio
from random import Random

import pytest

from dandelionstage.catalog.catalog import Catalog, CatalogItem
from dandelionstage.catalog.positions import StoreRevision
from dandelionstage.gateway.clock import now_ms
from dandelionstage.operations.events import EventLog
from dandelionstage.platform.entry_parser import EntryParser
from dandelionstage.platform.store_bodies import Page, WatchResult
from dandelionstage.platform.store_reader import StoreReader
from dandelionstage.spread.members import Address, Members
from dandelionstage.model.ids import VmId

OWN = Address(VmId('127.0.0.1:7380'))
KEYS = tuple('servers/i-{0}'.format(number) for number in range(6))
LEAVING = KEYS[-1]
#: Items in a page.
PAGE = 2


def entry(state='ready'):
    return (
        '{{"service":"s","address":"127.0.0.1:1","zone":"a","slots":2,'
        '"state":"{0}","seq":1}}'.format(state).encode()
    )


class HistoryStore:
    """A store that answers each page of a read as of some revision.

    :ivar changes: key and value of each change, at revisions from 1.
    :ivar ages: how many changes the answer to each page is old.
    """

    def __init__(self):
        self.changes = [(key, entry()) for key in KEYS]
        self.ages = (0,) * len(KEYS)

    @property
    def revision(self):
        return StoreRevision(len(self.changes))

    def items_at(self, revision):
        items = {}
        for number, (key, raw) in enumerate(self.changes[:revision], 1):
            items.pop(key, None)
            if raw is not None:
                items[key] = CatalogItem(key, StoreRevision(number), raw)
        return items

    def close(self):
        """Close nothing."""

    async def read_all(self, *, allow_stale):
        pages = []
        after = ''
        while after or not pages:
            age = self.ages[len(pages)] if allow_stale else 0
            as_of = StoreRevision(self.revision - age)
            items = self.items_at(as_of)
            keys = sorted(key for key in items if key > after)
            after = keys[PAGE - 1] if len(keys) > PAGE else ''
            shown = [items[key] for key in keys[:PAGE]]
            pages.append(Page(shown, as_of, after))
        return pages

    async def watch(self, after, wait_ms):
        if after >= self.revision:
            await asyncio.sleep(wait_ms / 1000)
        changes = enumerate(self.changes[after:], after + 1)
        items = [
            CatalogItem(key, StoreRevision(number), raw)
            for number, (key, raw) in changes
        ]
        return WatchResult(items, self.revision)


def read_until_caught_up(store):
    """Run a reader on an empty catalog for some watches."""

    log = EventLog(len, now_ms)
    catalog = Catalog(EntryParser(log))

    async def scenario():
        reader = StoreReader(store, catalog, Members(OWN, 'a'), log, Random(1))
        task = asyncio.create_task(reader.run())
        while catalog.as_of < store.revision:
            await asyncio.sleep(0.05)
        task.cancel()
        return catalog

    return asyncio.run(asyncio.wait_for(scenario(), 5))


def states(catalog):
    return {
        record.server: record.state.name for record in catalog.servers.values()
    }


@pytest.mark.parametrize('ages', [(0, 0, 2), (0, 2, 2), (1, 2, 0), (2, 0, 0)])
@pytest.mark.parametrize('leaving', [KEYS[0], KEYS[2], KEYS[-1]])
def test_report_of_a_leaving_server_is_not_lost_between_pages(ages, leaving):
    """Regression: the first page's revision was that of the whole read.

    A fleet that started again read an older second page, and used a server
    that had reported that it leaves until its end.
    """
    store = HistoryStore()
    store.changes += [(leaving, entry('draining')), (KEYS[1], entry())]
    store.ages = ages
    catalog = read_until_caught_up(store)
    draining = [
        key for key, state in states(catalog).items() if state != 'LIVE'
    ]
    assert draining == [leaving.removeprefix('servers/')]


@pytest.mark.parametrize('ages', [(0, 0, 2), (0, 2, 2), (1, 2, 0)])
def test_server_removed_between_pages_is_not_used(ages):
    """Regression: as above, for an entry that was removed."""
    store = HistoryStore()
    store.changes += [(LEAVING, None), (KEYS[1], entry())]
    store.ages = ages
    assert len(states(read_until_caught_up(store))) == len(KEYS) - 1
