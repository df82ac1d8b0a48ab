"""Routes that operators publish, found by host and longest path prefix."""

from collections.abc import Iterable, Mapping
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
#: Only ever grows; gaps between two versions mean nothing.
RouteVersion = NewType('RouteVersion', int)

_SLASH: Final = '/'


@unique
class RepeatPolicy(Enum):
    """What may be repeated."""

    #: May run more than once.
    IDEMPOTENT = 'idempotent'
    #: Runs at most once for each request.
    ONCE = 'once'


@final
@dataclass(frozen=True, slots=True)
class TrafficShare:
    """A service that gets a part of a route's requests.

    :ivar weight: its part, relative to the other shares of the route.
    """

    service: ServiceId
    weight: float


@final
@dataclass(frozen=True, slots=True)
class Gather:
    """How the answers of many shards become one.

    :ivar shards: the services asked, one server of each.
    :ivar record_count: how many of the greatest records are answered.
    :ivar least_coverage: share of the shards below which there is no answer.
    """

    shards: tuple[ServiceId, ...]
    record_count: int
    least_coverage: float

    @property
    def least_parts(self) -> int:
        """Parts without which there is no answer; at least one."""
        exact = len(self.shards) * self.least_coverage
        # A share such as 0.9 of 20 is not exact in binary.
        whole = int(exact + 1 - 1e-9)  # noqa: WPS432 -- below any real share
        return max(1, whole)


@final
@dataclass(frozen=True, slots=True)
class Route:
    """What one kind of request is promised and may cost.

    :ivar timeout_ms: longest time a request may wait for its answer.
    :ivar target_ms: time within which an answer is worth most.
    :ivar attempts: most servers that one request may be sent to; of each
        shard, where it is gathered.
    :ivar priority: 0 is served first.
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
        """Choose a service by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@final
@dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that answer alike.

    :ivar max_connections: that each server accepts from all VMs together.
    """

    service: ServiceId
    max_connections: int


@final
@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


@final
class RouteTable:
    """One version of all routes, ready for look-ups.

    :ivar version: the version published.
    """

    def __init__(
        self,
        version: RouteVersion,
        routes: Iterable[Route],
        services: Mapping[ServiceId, Service],
        limits: CallerLimits,
    ) -> None:
        """Index the routes; of two alike the later one holds."""
        self.version = version
        self.services: Mapping[ServiceId, Service] = MappingProxyType(
            dict(services)
        )
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def __len__(self) -> int:
        """Count the routes."""
        return sum(map(len, self._by_host.values()))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest that begins a path.

        Every prefix ends with a slash, so only the path's slashes matter.
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
