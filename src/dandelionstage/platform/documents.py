"""Says what an entry of the store means to the product."""

from types import MappingProxyType
from typing import Final, final

import msgspec

from ..catalog.catalog import CatalogItem, Change
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

__all__ = ('Interpreter',)

_ROUTES_KEY: Final = 'op/config'
_SERVERS_PREFIX: Final = 'servers/'
_STATES: Final = MappingProxyType(
    {'ready': ServerState.LIVE, 'draining': ServerState.DRAINING},
)
_WORKS: Final = MappingProxyType(
    {'safe': RepeatPolicy.IDEMPOTENT, 'unsafe': RepeatPolicy.ONCE},
)


@final
class Interpreter:
    """Interprets items and logs those that cannot be read.

    An entry that cannot be read is left out; what was known under its key
    holds until the entry can be read again or is gone.
    """

    def __init__(self, log: EventLog) -> None:
        """Log to a log."""
        self._log = log

    def __call__(self, found: CatalogItem) -> Change:
        """Tell what an item means; nothing if it is of no use."""
        try:
            return _interpret(found)
        except (msgspec.MsgspecError, ValueError) as fault:
            self._log.event(
                'entry_unreadable',
                key=found.key,
                revision=found.revision,
                fault=str(fault),
            )
            return Change()


def _interpret(found: CatalogItem) -> Change:
    if found.key.startswith(_SERVERS_PREFIX):
        server = ServerId(found.key.removeprefix(_SERVERS_PREFIX))
        if found.raw is None:
            return Change(removed_server=server)
        return Change(server=_read_server(server, found.raw))
    if found.key == _ROUTES_KEY and found.raw is not None:
        return Change(routes=_read_routes(found.raw))
    return Change()


def _read_server(server: ServerId, raw: bytes) -> ServerRecord:
    body = msgspec.json.decode(raw, type=ServerBody)
    host, _, port = body.address.rpartition(':')
    if body.state not in _STATES:
        raise ValueError('unknown state {0!r}'.format(body.state))
    if not host or not port.isdigit():
        raise ValueError('bad address {0!r}'.format(body.address))
    return ServerRecord(
        server=server,
        service=ServiceId(body.service),
        host=host,
        port=int(port),
        data_centre=body.zone,
        slots=body.slots,
        state=_STATES[body.state],
        warm_up_left_ms=body.warmup_left_ms,
        started_ms=body.born,
    )


def _read_routes(raw: bytes) -> RouteTable:
    config = msgspec.json.decode(raw, type=ConfigBody)
    services = [
        Service(ServiceId(each.name), each.max_connections)
        for each in config.services
    ]
    limits = config.limits
    return RouteTable(
        RouteVersion(config.version),
        [_read_route(each) for each in config.routes],
        {each.service: each for each in services},
        CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        ),
    )


def _read_route(body: RouteBody) -> Route:
    if body.route_type not in _WORKS:
        raise ValueError('unknown kind {0!r}'.format(body.route_type))
    shares = _read_shares(body)
    if not shares and not body.gather:
        raise ValueError('route {0!r} leads nowhere'.format(body.name))
    return Route(
        name=body.name or body.host + body.prefix,
        host=body.host.lower(),
        prefix=body.prefix,
        repeat_policy=_WORKS[body.route_type],
        timeout_ms=body.timeout_ms,
        target_ms=body.target_latency_ms,
        attempts=max(1, body.attempts),
        priority=body.priority,
        shares=shares,
        gather=_read_gather(body),
    )


def _read_shares(body: RouteBody) -> tuple[TrafficShare, ...]:
    if body.service is not None:
        return (TrafficShare(ServiceId(body.service), 1),)
    return tuple(
        TrafficShare(ServiceId(each.service), each.weight)
        for each in body.traffic_split
    )


def _read_gather(body: RouteBody) -> Gather | None:
    if not body.gather:
        return None
    shards = tuple(map(ServiceId, body.gather))
    return Gather(shards, body.top_k, body.min_coverage)
