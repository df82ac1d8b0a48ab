"""Execution of a relayed query for another VM."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final, final

from ..catalog.routes import Gather, RepeatPolicy, Route, ServiceId
from ..gateway.attempt import Reply
from ..gateway.request_schedule import RequestSchedule, slow_threshold_ms
from ..gateway.records import greatest_records, records_in_common_answer
from ..gateway.requests import CallerRequest
from ..gateway.run_helpers import SingleTimer
from ..gateway.shard_attempts import QueryAttempts
from ..gateway.run_context import RunContext
from ..placing.query_admission import shard_waits_ms
from ..placing.server_ends import RequestDigest
from .messages import Part, PartsReport, RelayRequest

__all__ = ('RelayRun',)

#: Time reserved for sending the parts back and for the other VM to merge them.
_RETURN_MS: Final = 3.0
#: Shorter waits are not reported.
_LEAST_WAIT_MS: Final = 2.0


@final
class RelayRun:  # noqa: WPS214 -- many short methods
    """Queries the shards of a relay request and reports their parts.

    Reports are sent when hedges are due, at the target time, for each part
    that arrives after the target, and when no attempt is pending.  From
    the target on, no further server is sent to: the other VM then knows which
    servers were tried and continues itself, so both VMs together stay within
    the route's limit on attempts.

    Until a report has said so, the other VM uses the parts of a report all
    together, so they contain only the records that an answer of them needs.

    :ivar is_over: whether the last report was sent or the run was cancelled.
    """

    def __init__(
        self,
        request: RelayRequest,
        unread_ms: float,
        context: RunContext,
        report: Callable[[PartsReport], None],
    ) -> None:
        """Prepare a run; nothing is sent before :meth:`start`.

        :param unread_ms: how long the request may have waited to be read.
        :param report: sends a report to the other VM.
        """
        self._number = request.number
        self._request = _request_of(request, context.now_ms())
        self._gather = Gather(
            tuple(map(ServiceId, request.shards)),
            request.record_count,
            request.least_coverage,
        )
        self._context = context
        self._report = report
        self._timer = SingleTimer(context)
        self._schedule = _schedule_of(request, context, unread_ms)
        route = _route_of(request, self._gather)
        self._shards = QueryAttempts(
            self._request,
            route,
            self._schedule,
            context,
            self._handle_change,
        )
        self._reported: set[ServiceId] = set()
        self._may_merge = request.takes_merged
        self._is_starting = True
        self.is_over = False

    @property
    def digest(self) -> RequestDigest:
        """Digest of the caller's request."""
        return self._request.digest

    @property
    def is_too_late(self) -> bool:
        """Whether the target time has passed."""
        return self._context.now_ms() >= self._schedule.answer_ms

    def start(self) -> None:
        """Query every shard once."""
        for shard in self._shards.all:
            self._shards.send_first_attempt(shard)
        self._is_starting = False
        hedge_ms = self._context.now_ms() + self._schedule.hedge_delay_ms
        self._timer.call_at(hedge_ms, self._hedge)
        self._handle_change()

    def cancel(self) -> None:
        """Release all attempts without a report."""
        if not self.is_over:
            self.is_over = True
            self._timer.stop()
            self._shards.release(is_slow=True)

    def _hedge(self) -> None:
        self._timer.call_at(self._schedule.answer_ms, self._reach_target)
        self._shards.hedge()
        self._send_report(is_last=False)

    def _reach_target(self) -> None:
        self._shards.is_closed = True
        self._timer.call_at(self._schedule.end_ms, self._finish)
        self._send_report(is_last=False)

    def _finish(self) -> None:
        self._shards.is_closed = True
        self._send_report(is_last=True)
        self.cancel()

    def _handle_change(self) -> None:
        """Report the end of the last attempt, or of any after the target."""
        if self._is_starting or self.is_over:
            return
        if not self._shards.pending_shards:
            self._finish()
        elif self._shards.is_closed:
            self._send_report(is_last=False)

    def _send_report(self, *, is_last: bool) -> None:
        fresh: dict[ServiceId, Reply] = {}
        tried: dict[str, Sequence[str]] = {}
        for shard in self._shards.all:
            if shard.part is None:
                tried[shard.service] = tuple(shard.tried)
            elif shard.service not in self._reported:
                fresh[shard.service] = shard.part
        self._reported.update(fresh)
        self._report(
            PartsReport(
                self._number,
                self._parts_of(fresh),
                tried,
                self._shards.is_closed,
                is_last,
                tuple(self._shards.ended_shards),
                self._may_merge,
                self._waits_ms() if self._shards.is_closed or is_last else {},
            )
        )
        self._may_merge = self._may_merge and not self._shards.is_closed

    def _waits_ms(self) -> dict[str, float]:
        """Return where a request would wait, and how long."""
        now_ms = self._context.now_ms()
        waits_ms = shard_waits_ms(self._gather, self._context.replicas, now_ms)
        return {
            service: round(wait_ms)
            for service, wait_ms in waits_ms.items()
            if wait_ms >= _LEAST_WAIT_MS
        }

    def _parts_of(self, replies: Mapping[ServiceId, Reply]) -> list[Part]:
        records = self._records_of([reply.body for reply in replies.values()])
        return [
            Part(service, reply.stamp, of_part)
            for (service, reply), of_part in zip(
                replies.items(), records, strict=True
            )
        ]

    def _records_of(self, bodies: Sequence[bytes]) -> list[bytes]:
        count = self._gather.record_count
        if self._may_merge:
            return records_in_common_answer(bodies, count)
        return [greatest_records((body,), count) for body in bodies]


def _schedule_of(
    request: RelayRequest, context: RunContext, unread_ms: float
) -> RequestSchedule:
    now_ms = context.now_ms()
    time_to_target_ms = request.answer_left_ms - unread_ms - _RETURN_MS
    time_to_target_ms -= context.answer_lag.lag_ms
    slow_ms = slow_threshold_ms(context.response_times, request.route)
    end_ms = now_ms + max(0, request.left_ms - unread_ms)
    return RequestSchedule.from_answer_wait(
        now_ms, time_to_target_ms, slow_ms, end_ms, end_ms
    )


def _route_of(request: RelayRequest, gather: Gather) -> Route:
    return Route(
        name=request.route,
        host=request.host,
        prefix='',
        repeat_policy=RepeatPolicy.IDEMPOTENT,
        timeout_ms=request.left_ms,
        target_ms=request.answer_left_ms,
        attempts=request.attempts,
        priority=0,
        gather=gather,
    )


def _request_of(request: RelayRequest, now_ms: float) -> CallerRequest:
    return CallerRequest(
        method=request.method,
        target=request.target,
        host=request.host,
        headers=tuple((name, content) for name, content in request.headers),
        body=request.body,
        request_id=request.request_id,
        time_left_ms=request.left_ms,
        arrived_ms=now_ms,
    )
