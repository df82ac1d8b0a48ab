"""JSON bodies that operators and backend servers write to the store."""

from typing import Annotated, Final, final

import msgspec

from ..catalog.routes import CallerLimits

__all__ = ('ConfigBody', 'RouteBody', 'ServerBody')

#: Field names on the wire are in camel case.
_CAMEL: Final = 'camel'
_MAX_INT64: Final = 9_223_372_036_854_775_807
#: An integer that every encoding of messages between VMs can hold.
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
#: Limits on callers where the configuration gives none.
_DEFAULT_LIMITS: Final = CallerLimits()


@final
class _Split(msgspec.Struct):
    service: str
    weight: float


@final
class RouteBody(msgspec.Struct, rename=_CAMEL):
    """A route as published.

    :ivar prefix: path prefix of the requests, with a final slash.
    :ivar route_type: ``safe`` if requests may be repeated, else ``unsafe``.
    :ivar timeout_ms: maximum time until a request is answered.
    :ivar target_latency_ms: latency up to which an answer is rated highest.
    :ivar attempts: maximum number of servers that one request may be sent to,
        per shard if ``gather`` is set.
    :ivar priority: 0 is served first.
    :ivar traffic_split: services that share the requests by weight.
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
    """A service as published.

    :ivar max_connections: connections that each server accepts from all VMs
        together; 0 if unknown.
    :ivar warmup_s: how long a server is cold after its start.
    :ivar warmup_per_s: requests a second that a cold server takes; 0 if it
        names no rate.
    """

    name: str
    max_connections: int = 0
    warmup_s: float = 0
    warmup_per_s: float = 0


@final
class _Limits(msgspec.Struct, rename=_CAMEL):
    max_header_bytes: int = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout_ms
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout_ms


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

    :ivar address: its address as ``host:port``.
    :ivar zone: its data centre.
    :ivar state: ``ready`` or ``draining``.
    :ivar warmup_left_ms: remaining warm-up time, in which the server is slow.
    :ivar born: start time in Unix milliseconds.
    :ivar seq: number that the server counts up from its start.
    """

    service: str
    address: str
    zone: str
    slots: _Count
    state: str
    warmup_left_ms: float = 0
    born: _Count = 0
    seq: _Count = 0
