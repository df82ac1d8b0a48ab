"""Objects shared by all requests that this VM processes."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, Protocol, final

from ..catalog.servers import ServerId
from ..operations.events import EventLog
from ..placing.deadly_requests import DeadlyRequests
from ..placing.fleet_retry_budget import FleetRetryBudgets
from ..placing.query_admission import QueryAdmission
from ..placing.queue_delay import BaseTimes
from ..placing.replicas import ConnectionPool, Replica, Replicas
from ..retries.answer_time_window import AnswerTimeWindow
from .attempt import Attempt
from .delivery_times import DeliveryTimes
from .relays import NoRelays, Relays
from .reply_reader import HeaderNames
from .request_schedule import LagEstimate

__all__ = ('Pool', 'RouteResponseTimes', 'RunContext', 'Timer')

#: Number of routes whose response times are kept, and of times per route.
_MAX_ROUTES: Final = 128
_TIMES_PER_ROUTE: Final = 128
#: Assumed response time of a route with too few samples.
_DEFAULT_RESPONSE_MS: Final = 15.0
_MEDIAN: Final = 0.5


class Pool(ConnectionPool, Protocol):
    """Interface of the connection pool of one server."""

    def warm_up(self, per_s: float, until_ms: float) -> None:
        """Limit a cold server, also for the attempts that wait."""

    def submit(self, attempt: Attempt) -> None:
        """Send an attempt as soon as a connection is available."""

    def abandon(self, attempt: Attempt) -> None:
        """Drop an attempt whose outcome is no longer needed."""


class Timer(Protocol):
    """Interface of a scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; it never takes place."""


@final
class RouteResponseTimes:
    """Records the recent response times of servers by route."""

    def __init__(self) -> None:
        """Create a record without any response times."""
        self._windows: OrderedDict[str, AnswerTimeWindow] = OrderedDict()

    def add(self, route: str, elapsed_ms: float) -> None:
        """Add the response time of one reply."""
        window = self._windows.get(route)
        if window is None:
            window = self._windows.setdefault(
                route, AnswerTimeWindow(_TIMES_PER_ROUTE)
            )
            if len(self._windows) > _MAX_ROUTES:
                self._windows.popitem(last=False)
        window.add(elapsed_ms)

    def median_ms(self, route: str) -> float:
        """Return the median, or a default value with too few samples."""
        return self.quantile_ms(route, _MEDIAN) or _DEFAULT_RESPONSE_MS

    def quantile_ms(self, route: str, quantile: float) -> float | None:
        """Return a quantile, ``None`` with too few samples."""
        window = self._windows.get(route)
        return window.quantile_ms(quantile) if window else None


@final
@dataclass(frozen=True, slots=True)
class RunContext:
    """Clock, random numbers, servers, budgets and estimates for all runs.

    :ivar replicas: usable servers by service.
    :ivar budgets: budgets of extra attempts by service.
    :ivar response_times: response times of servers by route.
    :ivar base_times: response times of servers without a queue, by route.
    :ivar answer_lag: how late this VM writes answers.
    :ivar delivery_times: how long answers take to reach callers.
    :ivar header_names: names of the protocol's headers.
    :ivar log: log and counters of events.
    :ivar now_ms: returns the monotonic time in milliseconds.
    :ivar call_later: schedules a call after a delay in milliseconds.
    :ivar random: random numbers for choices and delays.
    :ivar deadly: requests under which servers ended.
    :ivar relays: VMs that query shards of large queries for this VM.
    """

    replicas: Replicas[Pool]
    budgets: FleetRetryBudgets
    response_times: RouteResponseTimes
    answer_lag: LagEstimate
    delivery_times: DeliveryTimes
    header_names: HeaderNames
    log: EventLog
    now_ms: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], Timer]
    random: Random
    relays: Relays = field(default_factory=NoRelays)
    base_times: BaseTimes = field(default_factory=BaseTimes)
    admission: QueryAdmission = field(default_factory=QueryAdmission)
    deadly: DeadlyRequests = field(default_factory=DeadlyRequests)

    def replica_of(self, server: ServerId) -> Replica[Pool] | None:
        """Return the replica of a server, ``None`` if it is out of use."""
        return self.replicas.replica(server)
