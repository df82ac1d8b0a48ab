"""Parses entries of the store into catalog changes."""

from types import MappingProxyType
from typing import Final, final

import msgspec

from ..catalog.catalog import CatalogItem, Change
from ..catalog.evacuations import DataCentreId, EvacuationOrder
from ..catalog.routes import (
    CallerLimits,
    Gather,
    RepeatPolicy,
    Route,
    RouteTable,
    RouteVersion,
    Service,
    ServiceId,
    TrafficShare,
)
from ..catalog.servers import ServerId, ServerRecord, ServerState
from ..operations.events import EventLog
from .config_bodies import ConfigBody, RouteBody, ServerBody
from .server_address import check_server_id, parse_address, server_of

__all__ = ('EntryParser',)

_MAX_FAULT_CHARS: Final = 200
_MS_PER_S: Final = 1000.0
_ROUTES_KEY: Final = 'op/config'
#: The key names the data centre; its value says nothing.
_EVACUATION_PREFIX: Final = 'op/evacuate/'
_SERVER_STATES: Final = MappingProxyType(
    {'ready': ServerState.LIVE, 'draining': ServerState.DRAINING},
)
_REPEAT_POLICIES: Final = MappingProxyType(
    {'safe': RepeatPolicy.IDEMPOTENT, 'unsafe': RepeatPolicy.ONCE},
)


@final
class EntryParser:
    """Parses entries and logs those that are invalid.

    An entry is an item of the store: a key, its revision, and its value
    unless the key was removed.

    An invalid entry names no server, whatever it named before, so that all
    VMs agree, however long they run.  Invalid routes are ignored; the last
    valid ones stay in force.  Whatever an entry holds, those behind it are
    read.
    """

    def __init__(self, log: EventLog) -> None:
        """Create a parser that logs invalid entries to ``log``."""
        self._log = log

    def __call__(self, entry: CatalogItem) -> Change:
        """Return the change that an entry makes."""
        try:
            return _parse_entry(entry)
        except Exception as fault:
            # Decoders raise other errors too, for example RecursionError.
            self._log.event(
                'entry_unreadable',
                key=entry.key,
                revision=entry.revision,
                fault=str(fault)[:_MAX_FAULT_CHARS],
            )
            return Change(removed_server=server_of(entry.key))


def _parse_entry(entry: CatalogItem) -> Change:
    server = server_of(entry.key)
    if server is not None:
        if entry.raw is None:
            return Change(removed_server=server)
        return Change(server=_parse_server(server, entry.raw))
    if entry.key == _ROUTES_KEY and entry.raw is not None:
        return Change(routes=_parse_routes(entry.raw))
    if entry.key.startswith(_EVACUATION_PREFIX):
        data_centre = DataCentreId(entry.key.removeprefix(_EVACUATION_PREFIX))
        return Change(
            order=EvacuationOrder(
                data_centre, is_in_force=entry.raw is not None
            )
        )
    return Change()


def _parse_server(server: ServerId, raw: bytes) -> ServerRecord:
    body = msgspec.json.decode(raw, type=ServerBody)
    check_server_id(server)
    if body.state not in _SERVER_STATES:
        raise ValueError('unknown server state {0!r}'.format(body.state))
    host, port = parse_address(body.address)
    return ServerRecord(
        server=server,
        service=ServiceId(body.service),
        host=host,
        port=port,
        data_centre=body.zone,
        slots=body.slots,
        state=_SERVER_STATES[body.state],
        warm_up_left_ms=body.warmup_left_ms,
        started_ms=body.born,
        sequence=body.seq,
    )


def _parse_routes(raw: bytes) -> RouteTable:
    config = msgspec.json.decode(raw, type=ConfigBody)
    services = [
        Service(
            ServiceId(each.name),
            each.max_connections,
            warm_up_ms=each.warmup_s * _MS_PER_S,
            cold_per_s=each.warmup_per_s,
        )
        for each in config.services
    ]
    limits = config.limits
    return RouteTable(
        RouteVersion(config.version),
        [_parse_route(each) for each in config.routes],
        {each.service: each for each in services},
        CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        ),
    )


def _parse_route(body: RouteBody) -> Route:
    if body.route_type not in _REPEAT_POLICIES:
        raise ValueError('unknown route type {0!r}'.format(body.route_type))
    shares = _parse_shares(body)
    if not shares and not body.gather:
        raise ValueError(
            'route {0!r} has no service, traffic split or shards'.format(
                body.name
            )
        )
    return Route(
        name=body.name or body.host + body.prefix,
        host=body.host.lower(),
        prefix=body.prefix,
        repeat_policy=_REPEAT_POLICIES[body.route_type],
        timeout_ms=body.timeout_ms,
        target_ms=body.target_latency_ms,
        attempts=max(1, body.attempts),
        priority=body.priority,
        shares=shares,
        gather=_parse_gather(body),
    )


def _parse_shares(body: RouteBody) -> tuple[TrafficShare, ...]:
    if body.service is not None:
        return (TrafficShare(ServiceId(body.service), 1),)
    return tuple(
        TrafficShare(ServiceId(each.service), each.weight)
        for each in body.traffic_split
    )


def _parse_gather(body: RouteBody) -> Gather | None:
    if not body.gather:
        return None
    shards = tuple(map(ServiceId, body.gather))
    return Gather(shards, body.top_k, body.min_coverage)
