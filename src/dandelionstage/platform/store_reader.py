"""Reads the store while this VM is one of the readers of the fleet."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final, final

from ..catalog.catalog import Catalog, CatalogItem
from ..catalog.deferred_removals import DeferredRemovals
from ..catalog.positions import StoreRevision, log_fields, revision_of
from ..catalog.store_outages import StoreOutages
from ..gateway.clock import now_ms
from ..operations.events import EventLog
from ..spread.members import Members
from .store_bodies import WatchResult
from .store_client import HistoryGone, StoreClient, StoreUnavailable

__all__ = ('StoreReader',)

#: The first watch after this VM became a reader or lost the store is short,
#: because it only shows whether the store answers.
_INITIAL_WATCH_MS: Final = 200
#: Delay after a change, so that one request fetches several changes.
_BATCH_DELAY_S: Final = 0.3
#: A starting VM receives gossip within this time if other VMs are running.
_STARTUP_WAIT_S: Final = 0.15
#: If no VM has a catalog, the first reads are spread over this time.
_FIRST_READ_JITTER_S: Final = 0.2
#: Length of a watch for changes that the store already has.
_IMMEDIATE_WATCH_MS: Final = 1
#: Time for the answer to a watch once the store has changes for it; a slow
#: store takes 0.4 s.
_CHANGES_DUE_S: Final = 0.9
#: How often a VM checks whether it is a reader.
_ROLE_CHECK_INTERVAL_S: Final = 0.2
#: Upper bounds of the random delay between attempts while the store fails.
_INITIAL_BACKOFF_S: Final = 0.3
_MAX_BACKOFF_S: Final = 1.5
#: Doublings after which the delay is at its maximum; a power of a larger
#: number exceeds the range of a float.
_MAX_DOUBLINGS: Final = 16
#: A VM that lost the store while others reach it may become a reader again
#: after this time.
_RETRY_READING_AFTER_MS: Final = 8000.0


class _WatchLost(Exception):  # noqa: N818 -- no error
    """A watch was not answered, although the store answers."""


@final
@dataclass(slots=True)
class _Watch:
    """A watch in progress.

    :ivar after: revision after which it returns changes.
    :ivar is_expected: whether the store is known to have changes for it.
    :ivar is_in_doubt: whether another call got no answer meanwhile.
    :ivar is_store_answering: whether the store has answered another call
        meanwhile.
    :ivar is_given_up: whether it was ended because its answer is probably
        lost.
    """

    after: StoreRevision
    is_expected: bool = False
    is_in_doubt: bool = False
    is_store_answering: bool = False
    is_given_up: bool = False


@final
class StoreReader:  # noqa: WPS214 -- one task in short methods
    """Reads all items once, then their changes.

    The store counts as lost while it gives no valid answer.

    The answer to a watch may be lost, for example if the store is silent for
    a moment.  A watch that gets no answer at all times out a little after
    ``watch_ms``, which bounds the time until another one begins.  It begins
    earlier if another call got no answer meanwhile and the store answers
    again, and if the store is known to have changes for the watch, from
    another VM or from a check.

    :ivar watch_ms: how long the store may wait for a change in a watch, in
        ms.
    :ivar on_change: called after each change of the catalog.
    """

    def __init__(  # noqa: WPS211 -- one for each collaborator
        self,
        client: StoreClient,
        catalog: Catalog,
        members: Members,
        log: EventLog,
        random: Random,
        outages: StoreOutages,
    ) -> None:
        """Store the arguments; :meth:`run` starts reading."""
        self.watch_ms = _INITIAL_WATCH_MS
        self._watch_succeeded = False
        self.on_change: Callable[[], None] = _ignore_change
        self._client = client
        self._catalog = catalog
        self._members = members
        self._log = log
        self._random = random
        self._outages = outages
        outages.on_ended = self._note_outage_ended
        self._deferred_removals = DeferredRemovals()
        self._is_reading = False
        self._must_read_all = False
        self._has_just_read_all = False
        self._failures = 0
        self._last_failure_ms: float = 0
        # Ahead of the catalog's revision while a removal is deferred.
        self._last_read_revision = StoreRevision(0)
        self._watch: _Watch | None = None
        catalog.on_restored.append(self._note_restored)
        catalog.on_advanced.append(self.expect_changes)

    async def run(self) -> None:
        """Read the store while this VM is a reader, until cancelled."""
        await self._initialize_catalog()
        while True:
            if self._members.is_reader(now_ms()):
                self._set_role(is_reading=True)
                await self._try_read_changes()
            else:
                self._set_role(is_reading=False)
                self._restore_eligibility()
                await self._apply_due()
                await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)

    @property
    def position(self) -> StoreRevision:
        """Revision up to which this VM has read or learned the changes."""
        return max(self._catalog.as_of, self._last_read_revision)

    def expect_changes(self, as_of: StoreRevision) -> None:
        """End the watch in progress unless it returns the changes soon.

        :param as_of: revision that the store is known to have.
        """
        watch = self._watch
        if watch is None or watch.after >= as_of or watch.is_expected:
            return
        watch.is_expected = True
        asyncio.get_running_loop().call_later(
            _CHANGES_DUE_S, self._end_overdue, watch, as_of
        )

    def note_failed_call(self, fault: StoreUnavailable, sent_ms: float) -> None:
        """Note a call that the store did not answer, or answered in vain.

        :param sent_ms: when it was sent, or when its connection was lost.
        """
        if self._watch is not None and not fault.is_answered:
            self._watch.is_in_doubt = True
        self._outages.note_own_failure(
            sent_ms, is_reader=self._members.is_reader(now_ms())
        )

    def note_answer(self) -> None:
        """Note that the store answers this VM.

        What was lost meanwhile never comes, so a watch in doubt ends.
        """
        self._outages.note_own_answer(now_ms())
        watch = self._watch
        if watch is not None:
            watch.is_store_answering = True
            if watch.is_in_doubt and not watch.is_given_up:
                self._log.event('watch_in_doubt', **log_fields(watch.after))
                self._give_up(watch)

    async def catch_up(self, client: StoreClient) -> None:
        """Read the changes although this VM is not a reader.

        :param client: sends the requests, as a watch may be in progress.
        :raises StoreUnavailable: if the store gives no valid answer.
        """
        as_of = self._catalog.as_of
        try:
            result = await client.watch(as_of, _IMMEDIATE_WATCH_MS)
        except HistoryGone:
            # The watches of the readers have failed for the same reason.
            self._log.event('store_history_gone', **log_fields(as_of))
            await self._read_all(client)
        else:
            self.note_answer()
            self._apply(result.items, result.as_of)

    async def _initialize_catalog(self) -> None:
        """Wait for the catalog of other VMs, else read the store.

        If all VMs start at once, none has a catalog.  The first to read the
        store passes it on, so each VM waits for a different time.
        """
        await asyncio.sleep(_STARTUP_WAIT_S)
        if not self._catalog.as_of:
            await asyncio.sleep(self._random.uniform(0, _FIRST_READ_JITTER_S))
        if not self._catalog.as_of:
            try:
                await self._read_all(self._client)
            except StoreUnavailable as fault:
                self._log.event('store_lost', fault=str(fault), as_of=0)
        await asyncio.sleep(_STARTUP_WAIT_S)

    async def _try_read_changes(self) -> None:
        try:
            await self._read_changes()
        except HistoryGone:
            self._log.event(
                'store_history_gone', **log_fields(self._catalog.as_of)
            )
            if self._has_just_read_all:
                # Reading all items again would not help at once either.
                await self._back_off('history gone again')
            self._must_read_all = True
        except StoreUnavailable as fault:
            self.note_failed_call(fault, now_ms())
            await self._back_off(str(fault))
        except _WatchLost:
            # A short watch shows whether the store is lost, too.
            self._watch_succeeded = False

    async def _read_changes(self) -> None:
        if self._must_read_all or not self._catalog.as_of:
            await self._read_all(self._client)
            self._must_read_all = False
            self._has_just_read_all = True
        result = await self._wait_for_changes()
        self._has_just_read_all = False
        self._note_success()
        self._watch_succeeded = True
        self._apply(result.items, result.as_of)
        if result.items:
            await asyncio.sleep(_BATCH_DELAY_S)

    async def _wait_for_changes(self) -> WatchResult:
        """Watch the store.

        :raises _WatchLost: if the watch got no answer and the store answers
            other calls, and the watch before was answered.
        """
        watch = _Watch(self.position)
        self._watch = watch
        try:
            return await self._client.watch(watch.after, self._next_watch_ms())
        except StoreUnavailable as fault:
            is_lost = watch.is_given_up or (
                watch.is_store_answering and not fault.is_answered
            )
            if is_lost and self._watch_succeeded:
                raise _WatchLost from None
            raise
        finally:
            self._watch = None

    def _end_overdue(self, watch: '_Watch', as_of: StoreRevision) -> None:
        if self._watch is watch:
            self._log.event(
                'watch_overdue',
                store_is_at=revision_of(as_of),
                **log_fields(watch.after),
            )
            self._give_up(watch)

    def _give_up(self, watch: '_Watch') -> None:
        watch.is_given_up = True
        self._client.close()

    async def _read_all(self, client: StoreClient) -> None:
        """Read every item; remove catalog keys that the store lacks."""
        is_first = not self._catalog.as_of
        pages = await client.read_all(allow_stale=is_first)
        self._note_success()
        items = [item for page in pages for item in page.items]
        # The store may answer each page as of another revision; only the
        # changes up to the oldest of them are in all pages.
        as_of = min(page.as_of for page in pages)
        if as_of >= self._catalog.as_of:
            missing = self._catalog.keys_missing_from(
                item.key for item in items
            )
            items += [CatalogItem(key, as_of, None) for key in missing]
            self._catalog.note_complete_read(as_of)
        self._log.event('store_read', items=len(items), **log_fields(as_of))
        self._apply(items, as_of)

    def _apply(self, items: list[CatalogItem], as_of: StoreRevision) -> None:
        self._catalog.note_era(as_of)
        confirmed = self._confirm(self._catalog.without_removed(items, as_of))
        read_revision = max(self._last_read_revision, as_of)
        # Other VMs learn of a deferred removal when it is confirmed, so
        # until then this VM announces only the revision before it.
        known_revision = self._deferred_removals.revision_before_deferred(
            read_revision
        )
        changed = self._catalog.apply(confirmed, known_revision)
        # After an unexpected error the same changes are read again.
        self._last_read_revision = read_revision
        if changed:
            routes = self._catalog.routes
            self._log.event(
                'catalog_read',
                **log_fields(as_of),
                changed=changed,
                held_back=len(self._deferred_removals),
                routes_version=routes.version if routes else None,
                servers=len(self._catalog.servers),
            )
            self.on_change()

    def _confirm(self, items: list[CatalogItem]) -> list[CatalogItem]:
        """Defer removals after an outage and return what is to be applied."""
        at_ms = now_ms()
        confirmed = self._deferred_removals.filter_items(items, at_ms)
        return confirmed + self._deferred_removals.pop_due(at_ms)

    def _note_outage_ended(self, at_ms: float) -> None:
        """Defer removals, as servers write lapsed entries again.

        :param at_ms: when the store answered a VM again.
        """
        self._log.event('outage_ended', **log_fields(self._catalog.as_of))
        self._deferred_removals.start_deferring(at_ms)

    async def _apply_due(self) -> None:
        """Apply removals that were read while this VM was no reader.

        The store is read once more: it may be away again, or may list the
        servers again.
        """
        due_ms = self._deferred_removals.next_due_ms()
        if due_ms is None or now_ms() < due_ms:
            return
        try:
            await self.catch_up(self._client)
        except StoreUnavailable as fault:
            self.note_failed_call(fault, now_ms())
            self._log.event(
                'removals_unconfirmed',
                fault=str(fault),
                held_back=len(self._deferred_removals),
                **log_fields(self._last_read_revision),
            )
            # As after a failed call of a reader: the store may just return.
            self._deferred_removals.start_deferring(now_ms())
        else:
            # Open only while this VM reads.
            self._client.close()

    def _note_restored(self, as_of: StoreRevision) -> None:
        """Defer removals, as what was written since the copy is written again.

        :param as_of: position at which the restored store was first seen.
        """
        self._log.event('store_restored', **log_fields(as_of))
        self._deferred_removals.start_deferring(now_ms())

    def _next_watch_ms(self) -> int:
        """Return how long the next watch may wait for a change, in ms."""
        max_wait_ms = (
            self.watch_ms if self._watch_succeeded else _INITIAL_WATCH_MS
        )
        due_ms = self._deferred_removals.next_due_ms()
        if due_ms is None:
            return max_wait_ms
        until_due_ms = max(1, due_ms - now_ms())
        return math.ceil(min(max_wait_ms, until_due_ms))

    async def _back_off(self, fault: str) -> None:
        """Mark the store as lost and wait before the next attempt."""
        if not self._failures:
            self._log.event(
                'store_lost', fault=fault, **log_fields(self._catalog.as_of)
            )
        self._members.has_store = False
        self._watch_succeeded = False
        doublings = min(self._failures, _MAX_DOUBLINGS)
        ceiling_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**doublings)
        self._failures += 1
        self._last_failure_ms = now_ms()
        await asyncio.sleep(self._random.uniform(ceiling_s / 2, ceiling_s))

    def _restore_eligibility(self) -> None:
        """Let this VM become a reader again some time after a failure."""
        since_failure_ms = now_ms() - self._last_failure_ms
        if (
            not self._members.has_store
            and since_failure_ms > _RETRY_READING_AFTER_MS
        ):
            self._members.has_store = True

    def _note_success(self) -> None:
        self.note_answer()
        if self._failures:
            self._failures = 0
            self._members.has_store = True
            self._deferred_removals.start_deferring(now_ms())
            self._log.event('store_regained', **log_fields(self._catalog.as_of))

    def _set_role(self, *, is_reading: bool) -> None:
        if is_reading is not self._is_reading:
            self._is_reading = is_reading
            self._log.event(
                'reads_store' if is_reading else 'reads_store_no_more',
                **log_fields(self._catalog.as_of),
                members=len(self._members),
            )
            if not is_reading:
                self._watch_succeeded = False
                self._client.close()


def _ignore_change() -> None:
    """Do nothing on a change."""
