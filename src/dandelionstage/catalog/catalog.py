"""Newest routes, servers and orders of operators known to this VM.

They come from the platform's store, a key-value store with numbered revisions.
A few VMs read the store; the others get its entries from them.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Final, final

from .evacuations import EvacuationOrder, Evacuations
from .positions import StoreRevision, era_of
from .routes import RouteTable
from .servers import ServerId, ServerRecord, ServerState

__all__ = ('Catalog', 'Change', 'CatalogItem')

#: Maximum number of removed items whose revision is kept, so that a source
#: with older data cannot restore them.
_MAX_KEPT_REMOVALS: Final = 4096


@final
@dataclass(frozen=True, slots=True)
class CatalogItem:
    """One revision of an entry of the store, in its stored form.

    :ivar key: key of the entry.
    :ivar revision: store revision at which the entry was changed.
    :ivar raw: value of the entry, ``None`` if it was removed.
    :ivar is_older: whether the VM that passed it on knows that it is older
        than the last entry of its server.
    """

    key: str
    revision: StoreRevision
    raw: bytes | None
    is_older: bool = False


@final
@dataclass(frozen=True, slots=True)
class Change:
    """Effect of an item on the catalog; all fields ``None`` if it has none.

    :ivar routes: new version of the routes.
    :ivar server: server that was added or changed.
    :ivar removed_server: server that is no longer listed.
    :ivar order: order to evacuate a data centre, or the end of one.
    """

    routes: RouteTable | None = None
    server: ServerRecord | None = None
    removed_server: ServerId | None = None
    order: EvacuationOrder | None = None


@final
@dataclass(frozen=True, slots=True)
class _Removal:
    """Removal of an item.

    :ivar last: last record of the server, ``None`` if it was never known.
    """

    revision: StoreRevision
    last: ServerRecord | None


@final
class Catalog:  # noqa: WPS214 -- many short methods on one table
    """Routes, servers and orders, with the newest revision of each item.

    Two sources may deliver the same items at different times, so an item is
    applied by its own revision, not by the order of arrival.

    A store that is restored from a copy lists entries again that have changed
    or left since.  Such an older entry does not replace what is known of its
    server, unless :meth:`accept_older` says so.

    :ivar routes: version in force, ``None`` before the first one.
    :ivar evacuations: data centres that are evacuated.
    :ivar as_of: store revision up to which the catalog is complete.
    :ivar on_evacuation: callbacks for a data centre that is evacuated, or is
        no longer.
    :ivar on_routes: callbacks for a new version of the routes.
    :ivar on_advanced: callbacks for a later ``as_of``.
    :ivar on_restored: callbacks for a later era of the store.
    :ivar on_server_updated: callbacks for an added or changed server.
    :ivar on_server_removed: callbacks for a removed server.
    """

    def __init__(self, interpret: Callable[[CatalogItem], Change]) -> None:
        """Create an empty catalog.

        :param interpret: returns the effect of an item; an empty change for
            an item that the catalog does not use.
        """
        self.routes: RouteTable | None = None
        self.as_of = StoreRevision(0)
        self.evacuations = Evacuations()
        self.on_evacuation: list[Callable[[EvacuationOrder], None]] = []
        self.on_advanced: list[Callable[[StoreRevision], None]] = []
        self.on_restored: list[Callable[[StoreRevision], None]] = []
        self.on_routes: list[Callable[[RouteTable], None]] = []
        self.on_server_updated: list[Callable[[ServerRecord], None]] = []
        self.on_server_removed: list[Callable[[ServerId], None]] = []
        self._era = 0
        self._interpret = interpret
        self._items: dict[str, CatalogItem] = {}
        #: Revision since which every removal is remembered.
        self._removals_since = StoreRevision(0)
        self._removed: OrderedDict[str, _Removal] = OrderedDict()
        self._older: dict[str, CatalogItem] = {}
        self._servers: dict[ServerId, ServerRecord] = {}

    @property
    def servers(self) -> dict[ServerId, ServerRecord]:
        """All listed servers; do not modify the dictionary."""
        return self._servers

    @property
    def usable(self) -> bool:
        """Whether routes and servers are known, so callers can be served."""
        return self.routes is not None and bool(self._servers)

    def items_since(self, revision: StoreRevision) -> list[CatalogItem]:
        """List the items changed after a revision, including removals."""
        removals = [
            CatalogItem(key, removal.revision, None)
            for key, removal in self._removed.items()
            if removal.revision > revision
        ]
        changed = [
            item for item in self._items.values() if item.revision > revision
        ]
        older = [
            replace(item, is_older=True)
            for item in self._older.values()
            if item.revision > revision
        ]
        return changed + removals + older

    def remembers_removals_since(self, revision: StoreRevision) -> bool:
        """Whether :meth:`items_since` a revision contains every removal.

        A VM that was started later never knew the items removed before.
        """
        return revision >= self._removals_since

    def apply(self, items: Iterable[CatalogItem], as_of: StoreRevision) -> int:
        """Apply items and return how many of them were new.

        :param as_of: store revision that the catalog is complete up to once
            the items are applied.
        """
        self.note_era(as_of)
        if not self.as_of:
            self._removals_since = as_of
        applied = 0
        for item in items:
            if self._is_new(item):
                self._apply_item(item)
                applied += 1
        if as_of > self.as_of:
            self.as_of = as_of
            for on_advanced in self.on_advanced:
                on_advanced(as_of)
        return applied

    def note_era(self, as_of: StoreRevision) -> None:
        """Call the callbacks if the store has been restored.

        :param as_of: a position of the store.
        """
        if era_of(as_of) <= self._era:
            return
        self._era = era_of(as_of)
        # A VM that knows more of the old history than this one may know
        # servers of it that the new one lacks.
        self._removals_since = as_of
        if self.as_of:
            for on_restored in self.on_restored:
                on_restored(as_of)

    def note_complete_read(self, as_of: StoreRevision) -> None:
        """Record that all items were read instead of their changes.

        Items that came and went between are unknown to this VM, so it does
        not remember their removals.
        """
        self._removals_since = max(self._removals_since, as_of)

    def keys_missing_from(self, keys: Iterable[str]) -> list[str]:
        """List the known keys that a complete read of the store lacks.

        :param keys: all keys that were read.
        """
        known = self._items.keys() | self._older.keys()
        return sorted(known - frozenset(keys))

    def without_removed(
        self, items: Iterable[CatalogItem], as_of: StoreRevision
    ) -> list[CatalogItem]:
        """Return items of a source without the entries removed since.

        The catalog may have become newer than a source while its answer was
        on the way.  It is complete, so an entry of before that it lacks has
        been removed, also if it does not remember the removal.

        :param as_of: store revision that the answer is complete up to.
        """
        if as_of > self.as_of:
            return list(items)
        known = self._items.keys() | self._older.keys()
        return [
            item
            for item in items
            if item.raw is None
            or item.is_older
            or item.revision > self.as_of
            or item.key in known
        ]

    def revision_of(self, key: str) -> StoreRevision:
        """Return the revision of the last change of a key, 0 if unknown."""
        item = self._items.get(key)
        if item is not None:
            return item.revision
        removal = self._removed.get(key)
        return removal.revision if removal else StoreRevision(0)

    def older_entries(self) -> list[CatalogItem]:
        """List the older entries of servers that may be alive.

        A server that was draining never takes new work again, so its older
        entries do not count.
        """
        return [
            item
            for key, item in self._older.items()
            if (removal := self._removed.get(key)) is not None
            and removal.last is not None
            and removal.last.state is ServerState.LIVE
        ]

    def accept_older(self, item: CatalogItem) -> None:
        """Apply an older entry that the store has kept."""
        if self._older.get(item.key) == item:
            self._use_item(item, self._interpret(item))

    def _is_new(self, item: CatalogItem) -> bool:
        older = self._older.get(item.key)
        known = older.revision if older else self.revision_of(item.key)
        return item.revision > known

    def _apply_item(self, item: CatalogItem) -> None:
        known = self._items.get(item.key)
        if item.raw is None:
            self._remove_item(item)
        elif item.is_older:
            self._apply_older(item)
        elif known is not None and known.raw == item.raw:
            # The store was restored, and gave the entry another revision.
            self._older.pop(item.key, None)
            self._items[item.key] = item
        else:
            self._apply_entry(item)

    def _apply_entry(self, item: CatalogItem) -> None:
        change = self._interpret(item)
        if self._is_older(item, change):
            self._older[item.key] = item
        else:
            self._use_item(item, change)

    def _apply_older(self, item: CatalogItem) -> None:
        """Apply an entry that is older than what another VM knows.

        The other VM knows that the server has left, or has written since.
        """
        change = self._interpret(item)
        record = change.server
        if record is None:
            return
        known = self._items.get(item.key)
        last = self._last_record(item.key, record.server)
        if known and last and not last.is_newer_than(record):
            self._remove_item(CatalogItem(item.key, known.revision, None))
        is_in_use = item.key in self._items
        if not is_in_use and (last is None or record.is_newer_than(last)):
            self._removed[item.key] = _Removal(
                self.revision_of(item.key), record
            )
        self._apply_entry(item)

    def _use_item(self, item: CatalogItem, change: Change) -> None:
        self._older.pop(item.key, None)
        self._removed.pop(item.key, None)
        # It counts from now on, so other VMs use it as well.
        self._items[item.key] = replace(item, is_older=False)
        self._apply_change(change)

    def _remove_item(self, item: CatalogItem) -> None:
        change = self._interpret(item)
        last = self._last_record(item.key, change.removed_server)
        self._older.pop(item.key, None)
        self._items.pop(item.key, None)
        self._removed[item.key] = _Removal(item.revision, last)
        if len(self._removed) > _MAX_KEPT_REMOVALS:
            _, evicted = self._removed.popitem(last=False)
            self._removals_since = max(self._removals_since, evicted.revision)
        self._apply_change(change)

    def _is_older(self, item: CatalogItem, change: Change) -> bool:
        """Whether an entry comes from a copy older than what is known.

        Within one history, the revision alone tells which one is newer.
        """
        if era_of(item.revision) == era_of(self.revision_of(item.key)):
            return False
        if change.routes is not None and self.routes is not None:
            return change.routes.version < self.routes.version
        return change.server is not None and self._is_older_record(
            item.key, change.server
        )

    def _is_older_record(self, key: str, record: ServerRecord) -> bool:
        last = self._last_record(key, record.server)
        if last is None:
            return False
        if key in self._removed:
            return not record.is_newer_than(last)
        return last.is_newer_than(record)

    def _last_record(
        self, key: str, server: ServerId | None
    ) -> ServerRecord | None:
        """Return the last known record of a server, also if it was removed."""
        removal = self._removed.get(key)
        if removal is not None:
            return removal.last
        return None if server is None else self._servers.get(server)

    def _apply_change(self, change: Change) -> None:
        if change.routes is not None:
            self._use_routes(change.routes)
        if change.order is not None and self.evacuations.apply(change.order):
            for on_evacuation in self.on_evacuation:
                on_evacuation(change.order)
        if change.server is not None:
            self._servers[change.server.server] = change.server
            for on_updated in self.on_server_updated:
                on_updated(change.server)
        if change.removed_server in self._servers:
            self._servers.pop(change.removed_server)
            for on_removed in self.on_server_removed:
                on_removed(change.removed_server)

    def _use_routes(self, routes: RouteTable) -> None:
        if self.routes is None or routes.version > self.routes.version:
            self.routes = routes
            for on_routes in self.on_routes:
                on_routes(routes)
