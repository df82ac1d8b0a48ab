"""What every request in progress needs from its VM."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, Protocol, final

from ..catalog.servers import ServerId
from ..operations.events import EventLog
from ..placing.extra_budget import ExtraBudgets
from ..placing.replicas import Replica, Replicas, SendsTo
from ..retries.time_window import TimeWindow
from .attempt import Attempt
from .delivery_times import DeliveryTimes
from .relays import NoRelays, Relays
from .reply_reader import HeaderNames
from .request_schedule import AnswerLag

__all__ = ('Pool', 'RouteResponseTimes', 'RunContext', 'Timer')

#: Routes whose answer times are kept, and times kept of each.
_ROUTES_KEPT: Final = 128
_TIMES_KEPT: Final = 128
#: Assumed of a route that was never asked.
_UNKNOWN_MS: Final = 15.0
_MEDIAN: Final = 0.5


class Pool(SendsTo, Protocol):
    """Sends attempts to one server."""

    def submit(self, attempt: Attempt) -> None:
        """Send an attempt as soon as possible."""

    def abandon(self, attempt: Attempt) -> None:
        """Lose interest in an attempt."""


class Timer(Protocol):
    """Something that is due later."""

    def cancel(self) -> None:
        """Have it not happen."""


@final
class RouteResponseTimes:
    """How long servers usually take to answer requests of a route."""

    def __init__(self) -> None:
        """Start without any answer seen."""
        self._windows: OrderedDict[str, TimeWindow] = OrderedDict()

    def add(self, route: str, elapsed_ms: float) -> None:
        """Take in the time of one answer."""
        window = self._windows.get(route)
        if window is None:
            window = self._windows.setdefault(route, TimeWindow(_TIMES_KEPT))
            if len(self._windows) > _ROUTES_KEPT:
                self._windows.popitem(last=False)
        window.add(elapsed_ms)

    def usual_ms(self, route: str) -> float:
        """Return the median, or a guess with too few answers."""
        return self.quantile_ms(route, _MEDIAN) or _UNKNOWN_MS

    def quantile_ms(self, route: str, quantile: float) -> float | None:
        """Return a quantile, ``None`` with too few answers."""
        window = self._windows.get(route)
        return window.quantile_ms(quantile) if window else None


@final
@dataclass(frozen=True, slots=True)
class RunContext:
    """Clock, random numbers, servers and budgets.

    :ivar call_later: runs something after so many milliseconds.
    :ivar relays: VMs that large queries are shared with.
    """

    replicas: Replicas[Pool]
    budgets: ExtraBudgets
    response_times: RouteResponseTimes
    answer_lag: AnswerLag
    delivery_times: DeliveryTimes
    header_names: HeaderNames
    log: EventLog
    now_ms: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], Timer]
    random: Random
    relays: Relays = field(default_factory=NoRelays)

    def replica_of(self, server: ServerId) -> Replica[Pool] | None:
        """Return a server that is still in use."""
        return self.replicas.replica(server)
