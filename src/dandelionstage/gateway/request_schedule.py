"""Schedule of a request: when to hedge it, answer it and give it up."""

from dataclasses import dataclass
from typing import Final, Protocol, final

from ..catalog.routes import Route
from .requests import CallerRequest

__all__ = (
    'LagEstimate',
    'NetworkMargins',
    'RequestSchedule',
    'ResponseTimes',
    'schedule_request',
    'slow_threshold_ms',
)

#: A server counts as slow if it takes longer than this quantile of the response
#: times.
_HEDGE_QUANTILE: Final = 0.9
#: A server counts as slow only if it takes longer than this many times the
#: median.  A second server takes about the median itself, so an earlier hedge
#: would seldom reply first.
_HEDGE_MEDIAN_FACTOR: Final = 2.0
#: A hedge is sent after this fraction of the time to the target at the latest,
#: so that its reply can arrive in time.
_MAX_HEDGE_FRACTION: Final = 0.45
#: A hedge is sent after this time at the earliest, when most servers would have
#: replied.
_MIN_HEDGE_DELAY_MS: Final = 3.0
#: Minimum time to wait for an answer, as a fraction of the target, however
#: large the network margins are.  A single server may take as long as its work
#: does, and repeating that work at a second server costs more than waiting.
_MIN_TARGET_FRACTION: Final = 0.5
#: Weights of lags above and below the estimate, which thereby approaches about
#: the 95th percentile of the lags.
_RISE_WEIGHT: Final = 0.4
_FALL_WEIGHT: Final = 0.02


@final
@dataclass(frozen=True, slots=True)
class NetworkMargins:
    """Times reserved for the network between a caller and this VM.

    :ivar round_trip_ms: round-trip time assumed for a caller if the kernel
        has no estimate.
    :ivar spare_ms: reserve for variations of the network, on top of the
        round trips.
    :ivar end_margin_ms: reserve before a deadline or timeout, so that the
        final answer arrives in time.
    """

    round_trip_ms: float = 6
    spare_ms: float = 3
    end_margin_ms: float = 15

    def margin_ms(self, request: CallerRequest) -> float:
        """Return how much of the caller's time the network takes, in ms."""
        trip_ms = request.round_trip_ms or self.round_trip_ms
        # Opening a connection takes a round trip before the request.
        trips = 1 if request.is_connection_reused else 2
        return trips * trip_ms + self.spare_ms


@final
class LagEstimate:
    """Estimate of a lag by which answers are late, near its 95th percentile.

    One estimate is kept of how much later than planned this VM writes
    answers: on a slow or busy core, timers fire late, and reading and merging
    replies takes time.  Another is kept for each route of the delivery time
    of answers beyond a round trip.  Answers are scheduled earlier by both.

    :ivar lag_ms: estimate in ms, which rises fast and falls slowly.
    """

    def __init__(self, lag_ms: float = 0) -> None:
        """Create an estimate with an initial lag."""
        self.lag_ms = lag_ms

    def observe(self, late_ms: float) -> None:
        """Update the estimate from the lag of one answer."""
        excess_ms = late_ms - self.lag_ms
        self.lag_ms += max(excess_ms, 0) * _RISE_WEIGHT
        self.lag_ms += min(excess_ms, 0) * _FALL_WEIGHT


@final
@dataclass(frozen=True, slots=True)
class RequestSchedule:
    """Points in time of one request, by the monotonic clock.

    :ivar hedge_delay_ms: delay after which a server without a reply counts
        as slow.  It starts when all attempts are sent, because on a slow
        core sending a query to many shards takes as long as a reply.
    :ivar answer_ms: time of the planned answer; until then, waiting for more
        replies does not make the answer late.
    :ivar end_ms: time at which the final answer must be sent.
    :ivar deadline_ms: time at which servers must stop working on the
        request.
    """

    hedge_delay_ms: float
    answer_ms: float
    end_ms: float
    deadline_ms: float

    @classmethod
    def from_answer_wait(
        cls,
        start_ms: float,
        answer_wait_ms: float,
        slow_ms: float | None,
        end_ms: float,
        deadline_ms: float,
    ) -> 'RequestSchedule':
        """Create a schedule from the time to wait before answering.

        :param start_ms: time at which the wait begins.
        :param answer_wait_ms: duration of the wait, until the time of the
            planned answer.
        :param slow_ms: duration after which a server counts as slow,
            ``None`` while unknown.
        :param end_ms: time at which the final answer must be sent.
        :param deadline_ms: time at which servers must stop.
        """
        return cls(
            hedge_delay_ms=_hedge_delay_ms(answer_wait_ms, slow_ms),
            answer_ms=start_ms + answer_wait_ms,
            end_ms=end_ms,
            deadline_ms=deadline_ms,
        )


class ResponseTimes(Protocol):
    """Interface to the response times of servers by route."""

    def median_ms(self, route: str) -> float:
        """Return the median, or a default value with too few samples."""

    def quantile_ms(self, route: str, quantile: float) -> float | None:
        """Return a quantile, ``None`` with too few samples."""


def slow_threshold_ms(
    response_times: ResponseTimes, route: str
) -> float | None:
    """Return the time after which a second server is likely to be faster.

    :returns: duration in ms, ``None`` with too few samples.
    """
    high_ms = response_times.quantile_ms(route, _HEDGE_QUANTILE)
    if high_ms is None:
        return None
    return max(high_ms, _HEDGE_MEDIAN_FACTOR * response_times.median_ms(route))


def schedule_request(
    request: CallerRequest,
    route: Route,
    slow_ms: float | None,
    margins: NetworkMargins,
    lag_ms: float = 0,
) -> RequestSchedule:
    """Create the schedule of one request.

    :param slow_ms: duration after which a server counts as slow, ``None``
        while unknown.
    :param lag_ms: how much later than planned answers reach callers.
    """
    margin_ms = margins.margin_ms(request) + lag_ms
    answer_wait_ms = max(
        route.target_ms * _MIN_TARGET_FRACTION,
        route.target_ms - margin_ms,
    )
    longest_ms = min(request.time_left_ms, route.timeout_ms)
    arrived_ms = request.arrived_ms
    return RequestSchedule.from_answer_wait(
        arrived_ms,
        min(answer_wait_ms, longest_ms),
        slow_ms,
        end_ms=arrived_ms + max(1, longest_ms - margins.end_margin_ms),
        deadline_ms=arrived_ms + longest_ms,
    )


def _hedge_delay_ms(answer_wait_ms: float, slow_ms: float | None) -> float:
    latest_ms = answer_wait_ms * _MAX_HEDGE_FRACTION
    if slow_ms is None:
        return latest_ms
    return max(_MIN_HEDGE_DELAY_MS, min(slow_ms, latest_ms))
