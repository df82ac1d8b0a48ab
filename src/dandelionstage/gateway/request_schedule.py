"""When to ask a second server and when to answer with what is there."""

from dataclasses import dataclass
from typing import Final, Protocol, final

from ..catalog.routes import Route
from .requests import CallerRequest

__all__ = (
    'AnswerLag',
    'RequestSchedule',
    'NetworkMargins',
    'Times',
    'schedule_request',
    'slow_threshold_ms',
)

#: Most answers come within this quantile; the rest may be worth a hedge.
_HEDGE_QUANTILE: Final = 0.9
#: ... if they have taken this many times the usual time.  Another server
#: takes the usual time itself, so before that a hedge would seldom win.
_HEDGE_FACTOR: Final = 2.0
#: A hedge is sent after this part of the time to the target at the latest,
#: so that it can still be answered in time.
_LATEST_HEDGE_FRACTION: Final = 0.45
#: ... and not before most servers would have answered.
_LEAST_HEDGE_MS: Final = 3.0
#: A single answer may take as long as its work; hedging it is dearer.
_TARGET_LEAST_FRACTION: Final = 0.5
#: Weights of a lag above the estimate and below it: about the 95th
#: percentile of the lags is held in balance.
_RISE_WEIGHT: Final = 0.4
_FALL_WEIGHT: Final = 0.02


@final
@dataclass(frozen=True, slots=True)
class NetworkMargins:
    """Times that lie outside this VM.

    :ivar round_trip_ms: to a caller and back, where the kernel does not tell.
    :ivar spare_ms: kept besides the way of a request and its answer, for
        what the network varies.
    :ivar end_margin_ms: kept before a deadline or timeout, so that the final
        answer is there in time.
    """

    round_trip_ms: float = 6
    spare_ms: float = 3
    end_margin_ms: float = 15

    def margin_ms(self, request: CallerRequest) -> float:
        """Tell what of a caller's time passes outside this VM."""
        trip_ms = request.round_trip_ms or self.round_trip_ms
        # A new connection takes another round trip before the request.
        trips = 1 if request.is_kept else 2
        return trips * trip_ms + self.spare_ms


@final
class AnswerLag:
    """How much later than planned this VM writes answers.

    A small or busy core comes late to its timers and takes time to read
    what has arrived and to join it, so answers are planned earlier by that.

    :ivar lag_ms: a high estimate; rises fast and falls slowly.
    """

    def __init__(self, lag_ms: float = 0) -> None:
        """Start in time, or with what was seen once."""
        self.lag_ms = lag_ms

    def observe(self, late_ms: float) -> None:
        """Take in how late one answer was written."""
        excess_ms = late_ms - self.lag_ms
        self.lag_ms += max(excess_ms, 0) * _RISE_WEIGHT
        self.lag_ms += min(excess_ms, 0) * _FALL_WEIGHT


@final
@dataclass(frozen=True, slots=True)
class RequestSchedule:
    """Points in time, by the steady clock.

    :ivar hedge_wait_ms: so long after everything was sent, a server that has
        not answered is slow.  Counted from there, as a small core takes as
        long to send a query to many shards as a server to answer.
    :ivar answer_ms: until then waiting for more parts costs nothing.
    :ivar end_ms: the final answer is due.
    :ivar deadline_ms: what servers are told.
    """

    hedge_delay_ms: float
    answer_ms: float
    end_ms: float
    deadline_ms: float

    @classmethod
    def within(
        cls,
        began_ms: float,
        patience_ms: float,
        slow_ms: float | None,
        end_ms: float,
        deadline_ms: float,
    ) -> 'RequestSchedule':
        """Divide the time until an answer is of less worth.

        :param patience_ms: from the beginning until then.
        :param slow_ms: time from which a server counts as slow, ``None``
            while unknown.
        """
        return cls(
            hedge_delay_ms=_hedge_wait_ms(patience_ms, slow_ms),
            answer_ms=began_ms + patience_ms,
            end_ms=end_ms,
            deadline_ms=deadline_ms,
        )


class Times(Protocol):
    """How long servers take to answer requests of a route."""

    def usual_ms(self, route: str) -> float:
        """Return the median, or a guess with too few answers."""

    def quantile_ms(self, route: str, quantile: float) -> float | None:
        """Return a quantile, ``None`` with too few answers."""


def slow_threshold_ms(response_times: Times, route: str) -> float | None:
    """Tell after which time another server is likely to be faster.

    :returns: ``None`` while too few answers are known.
    """
    high_ms = response_times.quantile_ms(route, _HEDGE_QUANTILE)
    if high_ms is None:
        return None
    return max(high_ms, _HEDGE_FACTOR * response_times.usual_ms(route))


def schedule_request(
    request: CallerRequest,
    route: Route,
    slow_ms: float | None,
    pacing: NetworkMargins,
    lag_ms: float = 0,
) -> RequestSchedule:
    """Set the times of one request.

    :param slow_ms: time from which a server counts as slow, ``None`` while
        unknown.
    :param lag_ms: how much later than planned answers reach callers.
    """
    margin_ms = pacing.margin_ms(request) + lag_ms
    patience_ms = max(
        route.target_ms * _TARGET_LEAST_FRACTION,
        route.target_ms - margin_ms,
    )
    longest_ms = min(request.time_left_ms, route.timeout_ms)
    arrived_ms = request.arrived_ms
    return RequestSchedule.within(
        arrived_ms,
        min(patience_ms, longest_ms),
        slow_ms,
        end_ms=arrived_ms + max(1, longest_ms - pacing.end_margin_ms),
        deadline_ms=arrived_ms + longest_ms,
    )


def _hedge_wait_ms(patience_ms: float, slow_ms: float | None) -> float:
    latest_ms = patience_ms * _LATEST_HEDGE_FRACTION
    if slow_ms is None:
        return latest_ms
    return max(_LEAST_HEDGE_MS, min(slow_ms, latest_ms))
