"""Published routes, looked up by host and longest path prefix."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from random import Random
from types import MappingProxyType
from typing import Final, NewType, final

__all__ = (
    'CallerLimits',
    'Gather',
    'Route',
    'RouteTable',
    'RouteVersion',
    'Service',
    'ServiceId',
    'TrafficShare',
    'RepeatPolicy',
)

ServiceId = NewType('ServiceId', str)
#: Increases with every published version, not always by one.
RouteVersion = NewType('RouteVersion', int)

_SLASH: Final = '/'


@unique
class RepeatPolicy(Enum):
    """Whether a request may be executed more than once."""

    #: May be executed more than once.
    IDEMPOTENT = 'idempotent'
    #: Must be executed at most once.
    ONCE = 'once'


@final
@dataclass(frozen=True, slots=True)
class TrafficShare:
    """Service that receives a share of a route's requests.

    :ivar weight: size of the share relative to the route's other shares.
    """

    service: ServiceId
    weight: float


@final
@dataclass(frozen=True, slots=True)
class Gather:
    """Parameters for merging the answers of many shards into one.

    :ivar shards: services to query, one server of each.
    :ivar record_count: number of greatest records in the merged answer.
    :ivar least_coverage: fraction of the shards, 0 to 1, that an answer must
        cover.
    """

    shards: tuple[ServiceId, ...]
    record_count: int
    least_coverage: float

    @property
    def least_parts(self) -> int:
        """Minimum number of shards that must answer; at least one."""
        exact = len(self.shards) * self.least_coverage
        # A product such as 0.9 * 20 is not exact in binary floating point.
        rounded_up = int(exact + 1 - 1e-9)  # noqa: WPS432 -- rounding error
        return max(1, rounded_up)


@final
@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for one kind of request.

    :ivar host: host name that requests must have.
    :ivar prefix: path prefix that requests must have, with a final slash.
    :ivar repeat_policy: whether a request may be executed more than once.
    :ivar timeout_ms: maximum time until a request is answered.
    :ivar target_ms: target time until a request is answered.
    :ivar attempts: maximum number of servers that one request may be sent to,
        per shard if the route has :attr:`gather`.
    :ivar priority: 0 is served first.
    :ivar shares: services that share the requests.
    :ivar gather: set for requests that are sent to many shards.
    """

    name: str
    host: str
    prefix: str
    repeat_policy: RepeatPolicy
    timeout_ms: float
    target_ms: float
    attempts: int
    priority: int
    shares: tuple[TrafficShare, ...] = ()
    gather: Gather | None = None

    def choose_service(self, random: Random) -> ServiceId:
        """Choose a service at random by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@final
@dataclass(frozen=True, slots=True)
class Service:
    """Group of interchangeable backend servers.

    :ivar max_connections: connections that each server accepts from all VMs
        together.
    :ivar warm_up_ms: how long a server is cold after its start.
    :ivar cold_per_s: requests a second that a cold server takes from all VMs
        together, 0 if it names no rate.
    """

    service: ServiceId
    max_connections: int
    warm_up_ms: float = 0
    cold_per_s: float = 0


@final
@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests.

    :ivar header_bytes: maximum size of a request's headers.
    :ivar body_bytes: maximum size of a request's body.
    :ivar header_timeout_ms: maximum time to receive a request's headers.
    :ivar idle_timeout_ms: maximum time that a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


@final
class RouteTable:
    """One published version of all routes, indexed for lookup.

    :ivar version: number of the published version.
    :ivar services: services by id; read-only.
    :ivar limits: limits on callers' requests.
    """

    def __init__(
        self,
        version: RouteVersion,
        routes: Iterable[Route],
        services: Mapping[ServiceId, Service],
        limits: CallerLimits,
    ) -> None:
        """Index the routes; a later one replaces one with the same key.

        The key is the host together with the prefix.
        """
        self.version = version
        self.services: Mapping[ServiceId, Service] = MappingProxyType(
            dict(services)
        )
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def __len__(self) -> int:
        """Return the number of routes."""
        return sum(map(len, self._by_host.values()))

    def __iter__(self) -> Iterator[Route]:
        """Iterate over all routes."""
        for by_prefix in self._by_host.values():
            yield from by_prefix.values()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        Every prefix ends with a slash, so only the parts of the path that end
        with a slash are looked up.

        :returns: ``None`` if no route matches.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind(_SLASH) + 1
        while end:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind(_SLASH, 0, end - 1) + 1
        return None
