"""Follows the store while this VM is one of those that read it for all."""

import asyncio
import math
from collections.abc import Callable
from random import Random
from typing import Final, final

from ..catalog.catalog import Catalog, CatalogItem
from ..catalog.deferred_removals import DeferredRemovals
from ..catalog.servers import StoreRevision
from ..gateway.clock import now_ms
from ..operations.events import EventLog
from ..spread.members import Members
from .store_client import HistoryGone, StoreClient, StoreUnavailable

__all__ = ('StoreReader',)

#: The first watch after the store was taken up or lost is this short, as it
#: only shows whether the store answers.
_FIRST_WATCH_MS: Final = 200
#: Changes that come close together are fetched with one call.
_GATHER_S: Final = 0.3
#: A VM that starts hears from the others within this time, if there are any.
_SETTLE_S: Final = 0.15
#: Where nobody knows anything, the VMs read spread over this time.
_FIRST_READ_SPREAD_S: Final = 0.2
#: A watch for what is there already waits no longer.
_AT_ONCE_MS: Final = 1
#: How often a VM looks whether it is to read.
_LOOK_S: Final = 0.2
#: While the store fails, it is asked again after a random time up to this.
_FIRST_BACKOFF_S: Final = 0.3
_LONGEST_BACKOFF_S: Final = 1.5
#: A VM that lost the store while others have it tries again after this.
_HOPE_AGAIN_MS: Final = 8000.0


@final
class StoreReader:  # noqa: WPS214 -- one task, short steps
    """Reads everything once, then what changes.

    :ivar watch_ms: how long a watch waits for a change; one that was lost
        in silence is noticed a little later.
    """

    def __init__(
        self,
        client: StoreClient,
        catalog: Catalog,
        members: Members,
        log: EventLog,
        random: Random,
    ) -> None:
        """Prepare; nothing is read before :meth:`run`."""
        self.watch_ms = _FIRST_WATCH_MS
        self._is_proved = False
        self.on_news: Callable[[], None] = _nothing
        self._client = client
        self._catalog = catalog
        self._members = members
        self._log = log
        self._random = random
        self._lapses = DeferredRemovals()
        self._is_reading = False
        self._must_read_all = False
        self._failures = 0
        self._lost_ms: float = 0
        self._position = StoreRevision(0)

    async def run(self) -> None:
        """Read whenever this VM is to, until cancelled."""
        await self._settle()
        while True:
            if self._members.is_reader(now_ms()):
                self._note_role(is_reading=True)
                await self._read_once()
            else:
                self._note_role(is_reading=False)
                self._hope_again()
                await asyncio.sleep(_LOOK_S)

    async def catch_up(self) -> None:
        """Read what changed, though others are to read.

        :raises StoreUnavailable: when the store does not answer.
        """
        as_of = self._catalog.as_of
        try:
            watched = await self._client.watch(as_of, _AT_ONCE_MS)
        except HistoryGone:
            # The readers lost their watches with the history.
            self._log.event('store_history_gone', as_of=as_of)
            await self._read_all()
        else:
            self._take(watched.items, watched.as_of)

    async def _settle(self) -> None:
        """Give other VMs some time to pass on what they know.

        Where all start at once nobody knows anything; the first to read
        passes it on, so each waits for another time.
        """
        await asyncio.sleep(_SETTLE_S)
        if not self._catalog.as_of:
            await asyncio.sleep(self._random.uniform(0, _FIRST_READ_SPREAD_S))
        if not self._catalog.as_of:
            try:
                await self._read_all()
            except StoreUnavailable as fault:
                self._log.event('store_lost', fault=str(fault), as_of=0)
        await asyncio.sleep(_SETTLE_S)

    async def _read_once(self) -> None:
        try:
            await self._follow()
        except HistoryGone:
            self._log.event('store_history_gone', as_of=self._catalog.as_of)
            self._must_read_all = True
        except StoreUnavailable as fault:
            await self._back_off(str(fault))

    async def _follow(self) -> None:
        if self._must_read_all or not self._catalog.as_of:
            await self._read_all()
            self._must_read_all = False
        after = max(self._catalog.as_of, self._position)
        watched = await self._client.watch(after, self._wait_ms())
        self._note_return()
        self._is_proved = True
        self._take(watched.items, watched.as_of)
        if watched.items:
            await asyncio.sleep(_GATHER_S)

    async def _read_all(self) -> None:
        """Read every item; what is no longer there was removed."""
        is_first = not self._catalog.as_of
        pages = await self._client.read_all(may_be_old=is_first)
        self._note_return()
        items = [item for page in pages for item in page.items]
        # Later pages may be newer; the first page's revision is surely
        # covered by all of them.
        as_of = pages[0].as_of
        if as_of >= self._catalog.as_of:
            missing = self._catalog.keys_missing_from(
                item.key for item in items
            )
            items += [CatalogItem(key, as_of, None) for key in missing]
        self._log.event('store_read', as_of=as_of, items=len(items))
        self._take(items, as_of)

    def _take(self, items: list[CatalogItem], as_of: StoreRevision) -> None:
        at_ms = now_ms()
        certain = self._lapses.filter_items(items, at_ms)
        certain += self._lapses.pop_due(at_ms)
        self._position = max(self._position, as_of)
        # Others learn of a removal held back when it is certain, so until
        # then this VM does not claim to know what lies beyond.
        known = self._lapses.revision_before_deferred(self._position)
        taken = self._catalog.apply(certain, known)
        if taken:
            routes = self._catalog.routes
            self._log.event(
                'catalog_read',
                as_of=as_of,
                changed=taken,
                held_back=len(self._lapses),
                routes_version=routes.version if routes else None,
                servers=len(self._catalog.servers),
            )
            self.on_news()

    def _wait_ms(self) -> int:
        longest_ms = self.watch_ms if self._is_proved else _FIRST_WATCH_MS
        due_ms = self._lapses.next_due_ms()
        if due_ms is None:
            return longest_ms
        until_due_ms = max(1, due_ms - now_ms())
        return math.ceil(min(longest_ms, until_due_ms))

    async def _back_off(self, fault: str) -> None:
        if not self._failures:
            self._log.event(
                'store_lost', fault=fault, as_of=self._catalog.as_of
            )
        self._members.has_store = False
        self._is_proved = False
        ceiling_s = min(
            _LONGEST_BACKOFF_S, _FIRST_BACKOFF_S * 2**self._failures
        )
        self._failures += 1
        self._lost_ms = now_ms()
        await asyncio.sleep(self._random.uniform(ceiling_s / 2, ceiling_s))

    def _hope_again(self) -> None:
        """Offer to read again some time after the store was lost."""
        lost_for_ms = now_ms() - self._lost_ms
        if not self._members.has_store and lost_for_ms > _HOPE_AGAIN_MS:
            self._members.has_store = True

    def _note_return(self) -> None:
        if self._failures:
            self._failures = 0
            self._members.has_store = True
            self._lapses.start_deferring(now_ms())
            self._log.event('store_regained', as_of=self._catalog.as_of)

    def _note_role(self, *, is_reading: bool) -> None:
        if is_reading is not self._is_reading:
            self._is_reading = is_reading
            self._log.event(
                'reads_store' if is_reading else 'reads_store_no_more',
                as_of=self._catalog.as_of,
                members=len(self._members),
            )
            if not is_reading:
                self._is_proved = False
                self._client.close()


def _nothing() -> None:
    """Tell nobody."""
