"""What operators and backend servers write to the store."""

from typing import Final, final

import msgspec

from ..catalog.routes import CallerLimits

__all__ = ('ConfigBody', 'RouteBody', 'ServerBody')

#: Fields on the wire are in camel case.
_CAMEL: Final = 'camel'
_DEFAULTS: Final = CallerLimits()


@final
class _Split(msgspec.Struct):
    service: str
    weight: float


@final
class RouteBody(msgspec.Struct, rename=_CAMEL):
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
    traffic_split: tuple[_Split, ...] = ()
    gather: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 0


@final
class _Service(msgspec.Struct, rename=_CAMEL):
    name: str
    max_connections: int = 0


@final
class _Limits(msgspec.Struct, rename=_CAMEL):
    max_header_bytes: int = _DEFAULTS.header_bytes
    max_body_bytes: int = _DEFAULTS.body_bytes
    header_timeout_ms: float = _DEFAULTS.header_timeout_ms
    idle_timeout_ms: float = _DEFAULTS.idle_timeout_ms


@final
class ConfigBody(msgspec.Struct):
    """One version of everything that operators decide."""

    version: int
    routes: list[RouteBody]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


@final
class ServerBody(msgspec.Struct, rename=_CAMEL):
    """A backend server's own entry.

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
