"""Decodes what operators and backend servers write to the store."""

import base64
import binascii
from typing import Final, final

import msgspec

from ..catalog.catalog import Change, Item
from ..catalog.routes import (
    CallerLimits,
    Gather,
    Route,
    RouteTable,
    RouteVersion,
    Service,
    ServiceId,
    Share,
    Work,
)
from ..catalog.servers import (
    ServerId,
    ServerRecord,
    ServerState,
    StoreRevision,
)
from ..operations.events import EventLog

__all__ = ('Interpreter', 'Page', 'Watched', 'read_page', 'read_watched')

_ROUTES_KEY: Final = 'op/config'
_SERVERS_PREFIX: Final = 'servers/'
_STATES: Final = {
    'ready': ServerState.LIVE,
    'draining': ServerState.DRAINING,
}
_WORKS: Final = {'safe': Work.IDEMPOTENT, 'unsafe': Work.ONCE}


@final
class _Split(msgspec.Struct):
    service: str
    weight: float


@final
class _Route(msgspec.Struct, rename='camel'):
    """A route as published.

    :ivar route_type: what may be repeated.
    :ivar target_latency_ms: time within which an answer earns most.
    :ivar gather: the shards of a query, instead of a service.
    :ivar top_k: records in a gathered answer.
    :ivar min_coverage: share of the shards that an answer needs.
    """

    host: str
    prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float
    name: str = ''
    attempts: int = 1
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    gather: list[str] = []
    top_k: int = 0
    min_coverage: float = 0


@final
class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_connections: int = 0


@final
class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = CallerLimits().header_bytes
    max_body_bytes: int = CallerLimits().body_bytes
    header_timeout_ms: float = CallerLimits().header_timeout_ms
    idle_timeout_ms: float = CallerLimits().idle_timeout_ms


@final
class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


@final
class _Server(msgspec.Struct, rename='camel'):
    """A server's own entry.

    :ivar zone: its data centre.
    :ivar warmup_left_ms: how long it stays slow after its start.
    :ivar born: Unix milliseconds of its start.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_left_ms: float = 0
    born: int = 0


@final
class _StoreItem(msgspec.Struct):
    """An item, or the notice of its removal.

    :ivar value: base64 text.
    """

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


@final
class _PageBody(msgspec.Struct, rename='camel'):
    items: list[_StoreItem]
    has_more: bool
    as_of: int


@final
class _WatchBody(msgspec.Struct, rename='camel'):
    events: list[_StoreItem]
    as_of: int


@final
class Page(msgspec.Struct):
    """One page of a reading of the store.

    :ivar last_key: where the next page begins, empty after the last.
    """

    items: list[Item]
    as_of: StoreRevision
    last_key: str


@final
class Watched(msgspec.Struct):
    """What changed in the store up to a revision."""

    items: list[Item]
    as_of: StoreRevision


def read_page(body: bytes) -> Page:
    """Decode a page.

    :raises msgspec.MsgspecError: when it is none.
    """
    page = msgspec.json.decode(body, type=_PageBody)
    items = [_item(each) for each in page.items]
    more = page.has_more and items
    return Page(items, StoreRevision(page.as_of), items[-1].key if more else '')


def read_watched(body: bytes) -> Watched:
    """Decode what a watch brought.

    :raises msgspec.MsgspecError: when it is no such body.
    """
    watched = msgspec.json.decode(body, type=_WatchBody)
    return Watched(
        [_item(each) for each in watched.events],
        StoreRevision(watched.as_of),
    )


@final
class Interpreter:
    """Says what an item of the store means to the product.

    An entry that cannot be read is named in the log and left out; what was
    known under its key holds until the entry can be read again or is gone.
    """

    def __init__(self, log: EventLog) -> None:
        """Log to a log."""
        self._log = log

    def __call__(self, item: Item) -> Change:
        """Tell what an item means; nothing if it is of no use."""
        try:
            return _interpret(item)
        except (msgspec.MsgspecError, ValueError) as fault:
            self._log.event(
                'entry_unreadable',
                key=item.key,
                revision=item.revision,
                fault=str(fault),
            )
            return Change()


def _item(found: _StoreItem) -> Item:
    raw: bytes | None = None
    if not found.deleted:
        try:
            raw = base64.b64decode(found.value, validate=True)
        except binascii.Error:
            # The key stands for an entry that cannot be read.
            raw = b''
    return Item(found.key, StoreRevision(found.revision), raw)


def _interpret(item: Item) -> Change:
    if item.key == _ROUTES_KEY:
        if item.raw is None:
            return Change()
        return Change(routes=_read_routes(item.raw))
    if not item.key.startswith(_SERVERS_PREFIX):
        return Change()
    server = ServerId(item.key.removeprefix(_SERVERS_PREFIX))
    if item.raw is None:
        return Change(gone=server)
    return Change(server=_read_server(server, item.raw))


def _read_server(server: ServerId, raw: bytes) -> ServerRecord:
    found = msgspec.json.decode(raw, type=_Server)
    host, _, port = found.address.rpartition(':')
    if found.state not in _STATES:
        raise ValueError('unknown state {0!r}'.format(found.state))
    if not (host and port.isdigit()):
        raise ValueError('bad address {0!r}'.format(found.address))
    return ServerRecord(
        server=server,
        service=ServiceId(found.service),
        host=host,
        port=int(port),
        data_centre=found.zone,
        slots=found.slots,
        state=_STATES[found.state],
        warm_up_left_ms=found.warmup_left_ms,
        born_ms=found.born,
    )


def _read_routes(raw: bytes) -> RouteTable:
    config = msgspec.json.decode(raw, type=_Config)
    services = {
        ServiceId(each.name): Service(
            ServiceId(each.name), each.max_connections
        )
        for each in config.services
    }
    limits = config.limits
    return RouteTable(
        RouteVersion(config.version),
        [_read_route(each) for each in config.routes],
        services,
        CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        ),
    )


def _read_route(found: _Route) -> Route:
    if found.route_type not in _WORKS:
        raise ValueError('unknown kind {0!r}'.format(found.route_type))
    shares = tuple(
        Share(ServiceId(each.service), each.weight)
        for each in found.traffic_split
    )
    if found.service is not None:
        shares = (Share(ServiceId(found.service), 1),)
    gather = None
    if found.gather:
        shards = tuple(map(ServiceId, found.gather))
        gather = Gather(shards, found.top_k, found.min_coverage)
    elif not shares:
        raise ValueError('route {0!r} leads nowhere'.format(found.name))
    return Route(
        name=found.name or found.host + found.prefix,
        host=found.host.lower(),
        prefix=found.prefix,
        work=_WORKS[found.route_type],
        timeout_ms=found.timeout_ms,
        target_ms=found.target_latency_ms,
        attempts=max(1, found.attempts),
        priority=found.priority,
        shares=shares,
        gather=gather,
    )
