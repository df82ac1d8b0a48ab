"""JSON bodies that operators and backend servers write to the store."""

from typing import Final, final

import msgspec

from ..catalog.routes import CallerLimits

__all__ = ('ConfigBody', 'RouteBody', 'ServerBody')

#: Field names on the wire are in camel case.
_CAMEL: Final = 'camel'
_DEFAULTS: Final = CallerLimits()


@final
class _Split(msgspec.Struct):
    service: str
    weight: float


@final
class RouteBody(msgspec.Struct, rename=_CAMEL):
    """A route as published.

    :ivar route_type: ``safe`` if requests may be repeated, else ``unsafe``.
    :ivar target_latency_ms: latency up to which an answer earns most.
    :ivar gather: services that hold the shards of a query; used instead of
        ``service`` and ``traffic_split``.
    :ivar top_k: number of records in a gathered answer.
    :ivar min_coverage: fraction of the shards that an answer must cover.
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
    """One version of the configuration that operators publish."""

    version: int
    routes: list[RouteBody]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


@final
class ServerBody(msgspec.Struct, rename=_CAMEL):
    """The entry that a backend server writes about itself.

    :ivar zone: its data centre.
    :ivar warmup_left_ms: remaining warm-up time, in which the server is slow.
    :ivar born: start time in Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_left_ms: float = 0
    born: int = 0
