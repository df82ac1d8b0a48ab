"""Admission of queries while their shards are overloaded.

Load pattern: callers come at several times the calm rate and return when they
fail.  Parts of a query are of no use without the others, so a query that
cannot be answered in time only takes room from those that can, and if each
query is tried, fewer succeed than at the calm rate.
"""

from typing import Any, Final, final

from ..catalog.routes import Gather, Route, ServiceId
from .replicas import Replicas

__all__ = (
    'QueryAdmission',
    'UrgentDemand',
    'expected_wait_ms',
    'shard_waits_ms',
)

#: The waiting time aimed at, as a fraction of what the target of a route leaves
#: after the time that its servers take without a queue.
_GOAL_FRACTION: Final = 0.25
#: The same beside urgent routes, whose queries wait behind the others.
_GOAL_FRACTION_BESIDE_URGENT: Final = 0.15
#: Interval between changes of the refused fraction.
_INTERVAL_MS: Final = 100.0
#: Interval between measurements of a route's waiting time.
_MEASURING_INTERVAL_MS: Final = 40.0
#: Change of the refused fraction in an interval for a waiting time of twice the
#: goal, for none, and for a rise of the waiting time by the goal.
_INTEGRAL_GAIN: Final = 0.06
_FALL_GAIN: Final = 0.12
_PROPORTIONAL_GAIN: Final = 0.8
_MAX_REFUSED: Final = 0.9
#: Nothing is refused below this fraction, as pauses of a few servers at once
#: make queries wait for a moment.
_MIN_REFUSED: Final = 0.15
#: Longer waiting times count like this one, so that the refused fraction does
#: not overshoot.
_MAX_EXCESS: Final = 1.0
#: A route counts if it was asked for within this time.
_ROUTE_AGE_MS: Final = 500.0
#: Rank of the routes that are served first.  No route is served less than the
#: second fraction of the mean for them.
_URGENT: Final = 0
_LEAST_SERVED: Final = 0.5
#: Urgent routes do not count below this fraction of the work.
_MIN_URGENT_SHARE: Final = 0.01
#: Weight of a query in what is known of the demand for the urgent routes.
_DEMAND_WEIGHT: Final = 0.1
#: Each step by which a route is less urgent than the most urgent one lowers
#: the exponent of the refused fraction by about this fraction.
_RANK_STEP: Final = 0.2
#: A caller that was refused and returned has less time left than others of its
#: route, below this fraction of the longest; it is refused less often.
_RETURNED_FRACTION: Final = 0.95
_RETURNED_EXPONENT: Final = 1.5


def shard_waits_ms(
    gather: Gather, replicas: Replicas[Any], now_ms: float
) -> dict[ServiceId, float]:
    """Return how long a request waits at the best server of each shard.

    Shards without a server are left out.
    """
    return {
        shard: min(replica.queue.delay_ms(now_ms) for replica in known)
        for shard in gather.shards
        if (known := replicas.for_service(shard))
    }


def expected_wait_ms(
    gather: Gather, replicas: Replicas[Any], now_ms: float
) -> float:
    """Return how long the last shard that an answer needs would wait.

    A query needs only :attr:`Gather.least_parts` shards, and asks the server
    of each that has the shortest queue.  Shards without a server do not count.
    """
    waits_ms = sorted(shard_waits_ms(gather, replicas, now_ms).values())
    if not waits_ms:
        return 0
    return waits_ms[min(gather.least_parts, len(waits_ms)) - 1]


@final
class _RouteLoad:
    """What is known of the recent queries of a route.

    :ivar longest_ms: longest time that a caller has had left.
    :ivar asked_ms: time of the last query.
    :ivar excess: by how much the waiting time exceeds the goal, as a fraction
        of the goal.
    :ivar measured_ms: time at which it was determined.
    """

    __slots__ = (
        'asked_ms',
        'excess',
        'longest_ms',
        'measured_ms',
        'priority',
    )

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.longest_ms: float = 0
        self.asked_ms: float = 0
        self.excess: float = -1
        self.measured_ms = float('-inf')


@final
class UrgentDemand:
    """The urgent routes' part of the work that callers ask for.

    Load pattern: urgent queries are small, and a burst of the others takes the
    room that they need.
    """

    def __init__(self) -> None:
        """Assume that nothing is urgent."""
        self._urgent_ms: float = 0
        self._total_ms: float = 0

    def add(self, work_ms: float, *, is_urgent: bool) -> None:
        """Count a query by the time that a server works on a part of it."""
        self._urgent_ms += _DEMAND_WEIGHT * (
            work_ms * is_urgent - self._urgent_ms
        )
        self._total_ms += _DEMAND_WEIGHT * (work_ms - self._total_ms)

    @property
    def is_present(self) -> bool:
        """Whether callers ask for urgent routes."""
        return self._urgent_ms > _MIN_URGENT_SHARE * self._total_ms

    def refused_fraction(self, mean: float, *, is_urgent: bool) -> float:
        """Return the fraction of the urgent or the other queries to refuse.

        The others are refused first, down to a part of the mean.

        :param mean: fraction of all work that is refused.
        """
        if not self.is_present:
            return mean
        urgent_share = min(1, self._urgent_ms / self._total_ms)
        others_share = 1 - urgent_share
        most = 1 - _LEAST_SERVED * (1 - mean)
        others = min(most, mean / others_share) if others_share else most
        if not is_urgent:
            return others
        return max(0, (mean - others * others_share) / urgent_share)


@final
class QueryAdmission:
    """Refuses a fraction of the queries so that the others wait a short time.

    Each VM controls the fraction by the waiting times that it observes, which
    are the same for all VMs, so that together they admit what the servers can
    do without an exchange.

    Source: the controller of PIE (RFC 8033), which drops packets by the
    waiting time of a queue and its change.

    :ivar refused_fraction: fraction of the queries that is refused.
    """

    def __init__(self) -> None:
        """Create a controller that refuses nothing."""
        self.refused_fraction: float = 0
        self._updated_ms: float = 0
        self._excess: float = -1
        self._routes: dict[str, _RouteLoad] = {}
        self._urgent_demand = UrgentDemand()

    def probability(
        self,
        route: Route,
        time_left_ms: float,
        replicas: Replicas[Any],
        base_ms: float,
        now_ms: float,
    ) -> float:
        """Return the probability with which to refuse a query of a route.

        :param time_left_ms: how long the caller still waits.
        :param replicas: servers of the shards.
        :param base_ms: time that a server takes without a queue.
        """
        load = self._record(route, time_left_ms, now_ms)
        is_urgent = route.priority == _URGENT
        self._urgent_demand.add(max(1, base_ms), is_urgent=is_urgent)
        if now_ms - load.measured_ms >= _MEASURING_INTERVAL_MS:
            load.measured_ms = now_ms
            load.excess = self._measure_excess(route, replicas, base_ms, now_ms)
        if now_ms - self._updated_ms >= _INTERVAL_MS:
            self._update(now_ms)
        if self.refused_fraction < _MIN_REFUSED:
            return 0
        exponent = self._exponent(route)
        if time_left_ms < _RETURNED_FRACTION * load.longest_ms:
            exponent *= _RETURNED_EXPONENT
        refused = self._urgent_demand.refused_fraction(
            self.refused_fraction, is_urgent=is_urgent
        )
        return float(refused**exponent)

    def _measure_excess(
        self,
        route: Route,
        replicas: Replicas[Any],
        base_ms: float,
        now_ms: float,
    ) -> float:
        """Return by which fraction of the goal a query waits longer."""
        if route.gather is None:
            return -1
        fraction = _GOAL_FRACTION
        if self._urgent_demand.is_present:
            fraction = _GOAL_FRACTION_BESIDE_URGENT
        goal_ms = fraction * max(1, route.target_ms - base_ms)
        wait_ms = expected_wait_ms(route.gather, replicas, now_ms)
        return min(_MAX_EXCESS, wait_ms / goal_ms - 1)

    def _exponent(self, route: Route) -> float:
        most_urgent = min(each.priority for each in self._routes.values())
        return 1 / (1 + _RANK_STEP * (route.priority - most_urgent))

    def _record(
        self, route: Route, time_left_ms: float, now_ms: float
    ) -> _RouteLoad:
        load = self._routes.get(route.name)
        if load is None:
            load = self._routes.setdefault(
                route.name, _RouteLoad(route.priority)
            )
        load.longest_ms = max(load.longest_ms, time_left_ms)
        load.asked_ms = now_ms
        return load

    def _update(self, now_ms: float) -> None:
        intervals = int((now_ms - self._updated_ms) / _INTERVAL_MS)
        self._updated_ms = now_ms
        self._routes = {
            name: load
            for name, load in self._routes.items()
            if now_ms - load.asked_ms < _ROUTE_AGE_MS
        }
        excess = max(load.excess for load in self._routes.values())
        changed = self.refused_fraction + self._change(excess, intervals)
        self._excess = excess
        self.refused_fraction = min(_MAX_REFUSED, max(0, changed))

    def _change(self, excess: float, intervals: int) -> float:
        """Return the change of the refused fraction.

        A rise of the waiting time that stays below the goal says nothing
        about an overload.
        """
        gain = _INTEGRAL_GAIN if excess > 0 else _FALL_GAIN
        rise = max(0, excess) - max(0, self._excess)
        return gain * intervals * excess + _PROPORTIONAL_GAIN * rise
