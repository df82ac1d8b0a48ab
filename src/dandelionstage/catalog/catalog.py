"""The newest routes and servers known to this VM, from whatever source."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, final

from .routes import RouteTable
from .servers import ServerId, ServerRecord, StoreRevision

__all__ = ('Catalog', 'Change', 'CatalogItem')

#: Removed items whose revision is remembered, so that an older source
#: cannot bring them back.
_REMEMBERED_REMOVALS: Final = 4096


@final
@dataclass(frozen=True, slots=True)
class CatalogItem:
    """One entry of the store, as the store holds it.

    :ivar raw: its value, ``None`` once it is removed.
    """

    key: str
    revision: StoreRevision
    raw: bytes | None


@final
@dataclass(frozen=True, slots=True)
class Change:
    """What an item means.

    :ivar routes: a new version of the routes.
    :ivar server: a server that is new or has changed.
    :ivar removed_server: a server that is no longer listed.
    """

    routes: RouteTable | None = None
    server: ServerRecord | None = None
    removed_server: ServerId | None = None


@final
class Catalog:  # noqa: WPS214 -- one table, short methods
    """Takes each item once, in any order, and never an older one.

    Two sources may offer the same items at different times, so each item's
    own revision decides and not the order of arrival.

    :ivar routes: the version in force, ``None`` before the first one.
    :ivar as_of: the store's revision up to which everything is known.
    """

    def __init__(self, interpret: Callable[[CatalogItem], Change]) -> None:
        """Start empty.

        :param interpret: tells what an item means; nothing if it is no
            entry of use.
        """
        self.routes: RouteTable | None = None
        self.as_of = StoreRevision(0)
        self.on_routes: list[Callable[[RouteTable], None]] = []
        self.on_server_updated: list[Callable[[ServerRecord], None]] = []
        self.on_server_removed: list[Callable[[ServerId], None]] = []
        self._interpret = interpret
        self._items: dict[str, CatalogItem] = {}
        self._removed: OrderedDict[str, StoreRevision] = OrderedDict()
        self._servers: dict[ServerId, ServerRecord] = {}

    @property
    def servers(self) -> dict[ServerId, ServerRecord]:
        """Every server listed; not to be changed."""
        return self._servers

    @property
    def usable(self) -> bool:
        """Whether callers can be served."""
        return self.routes is not None and bool(self._servers)

    def items_since(self, revision: StoreRevision) -> list[CatalogItem]:
        """List what changed after a revision, removals included."""
        removals = [
            CatalogItem(key, removed, None)
            for key, removed in self._removed.items()
            if removed > revision
        ]
        changed = [
            item for item in self._items.values() if item.revision > revision
        ]
        return changed + removals

    def apply(self, items: Iterable[CatalogItem], as_of: StoreRevision) -> int:
        """Take in items known up to a revision; count those that were new."""
        taken = 0
        for item in items:
            if self._is_new(item):
                self._take(item)
                taken += 1
        self.as_of = max(self.as_of, as_of)
        return taken

    def keys_missing_from(self, keys: Iterable[str]) -> list[str]:
        """List what a whole reading of the store no longer names."""
        return sorted(self._items.keys() - frozenset(keys))

    def revision_of(self, key: str) -> StoreRevision:
        """Return the revision at which a key was last changed."""
        item = self._items.get(key)
        removed = self._removed.get(key, StoreRevision(0))
        return max(item.revision, removed) if item else removed

    def _is_new(self, item: CatalogItem) -> bool:
        return item.revision > self.revision_of(item.key)

    def _take(self, item: CatalogItem) -> None:
        if item.raw is None:
            self._items.pop(item.key, None)
            self._removed[item.key] = item.revision
            if len(self._removed) > _REMEMBERED_REMOVALS:
                self._removed.popitem(last=False)
        else:
            self._removed.pop(item.key, None)
            self._items[item.key] = item
        self._apply(self._interpret(item))

    def _apply(self, change: Change) -> None:
        if change.routes is not None:
            self._use_routes(change.routes)
        if change.server is not None:
            self._servers[change.server.server] = change.server
            for on_server_updated in self.on_server_updated:
                on_server_updated(change.server)
        if change.removed_server in self._servers:
            self._servers.pop(change.removed_server)
            for on_server_removed in self.on_server_removed:
                on_server_removed(change.removed_server)

    def _use_routes(self, routes: RouteTable) -> None:
        if self.routes is None or routes.version > self.routes.version:
            self.routes = routes
            for on_routes in self.on_routes:
                on_routes(routes)
