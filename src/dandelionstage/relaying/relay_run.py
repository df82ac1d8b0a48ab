"""Some shards of a query that another VM has taken from its caller."""

from collections.abc import Callable, Sequence
from typing import Final, final

from ..catalog.routes import Gather, Route, ServiceId, Work
from ..gateway.request_schedule import RequestSchedule, slow_threshold_ms
from ..gateway.records import greatest_records
from ..gateway.requests import CallerRequest
from ..gateway.run_helpers import SingleTimer
from ..gateway.shard_attempts import ShardAttempts, QueryAttempts
from ..gateway.run_context import RunContext
from .messages import Ask, Part, Parts

__all__ = ('RelayRun',)

#: Kept for the way back and for the other VM to join the parts.
_BACK_MS: Final = 3.0


@final
class RelayRun:  # noqa: WPS214 -- one query's whole course, short methods
    """Asks the shards and reports what came of it.

    It reports once all have ended, and otherwise when it hedges, at the
    target, and then each part as it comes.  From the target on it sends to no
    further server: the VM that has the query knows what was tried by then and
    goes on itself, so that both together keep to the route's attempts.
    """

    def __init__(
        self,
        ask: Ask,
        unread_ms: float,
        tools: RunContext,
        report: Callable[[Parts], None],
    ) -> None:
        """Prepare; nothing is sent before :meth:`start`.

        :param unread_ms: how long the message may have lain unread.
        """
        self._number = ask.number
        self._gather = Gather(
            tuple(map(ServiceId, ask.shards)),
            ask.record_count,
            ask.least_coverage,
        )
        self._tools = tools
        self._report = report
        self._timer = SingleTimer(tools)
        self._pace = _pace_of(ask, tools, unread_ms)
        route = _route_of(ask, self._gather)
        self._shards = QueryAttempts(
            _request_of(ask, tools.now_ms()),
            route,
            self._pace,
            tools,
            self._follow,
        )
        self._reported: set[ServiceId] = set()
        self._is_starting = True
        self.is_over = False

    @property
    def is_hopeless(self) -> bool:
        """Whether the target has passed already."""
        return self._tools.now_ms() >= self._pace.answer_ms

    def start(self) -> None:
        """Ask every shard once."""
        for shard in self._shards.all:
            self._shards.send_first_attempt(shard)
        self._is_starting = False
        hedge_ms = self._tools.now_ms() + self._pace.hedge_delay_ms
        self._timer.call_at(hedge_ms, self._hedge)
        self._follow()

    def cancel(self) -> None:
        """Stop, as nobody waits any more."""
        if not self.is_over:
            self.is_over = True
            self._timer.stop()
            self._shards.release(is_slow=True)

    def _hedge(self) -> None:
        self._timer.call_at(self._pace.answer_ms, self._reach_target)
        self._shards.hedge()
        self._tell(is_last=False)

    def _reach_target(self) -> None:
        self._shards.is_closed = True
        self._timer.call_at(self._pace.end_ms, self._run_out)
        self._tell(is_last=False)

    def _run_out(self) -> None:
        self._shards.is_closed = True
        self._tell(is_last=True)
        self.cancel()

    def _follow(self) -> None:
        """Report what an ending changes, if that is of use now."""
        if self._is_starting or self.is_over:
            return
        if not self._shards.pending_shards:
            self._run_out()
        elif self._shards.is_closed:
            self._tell(is_last=False)

    def _tell(self, *, is_last: bool) -> None:
        parts = []
        tried: dict[str, Sequence[str]] = {}
        for shard in self._shards.all:
            if shard.part is None:
                tried[shard.service] = tuple(shard.tried)
            elif shard.service not in self._reported:
                self._reported.add(shard.service)
                parts.append(self._part_of(shard))
        self._report(
            Parts(self._number, parts, tried, self._shards.is_closed, is_last)
        )

    def _part_of(self, shard: ShardAttempts) -> Part:
        assert shard.part is not None  # noqa: S101 -- checked by the caller
        records = greatest_records(
            (shard.part.body,), self._gather.record_count
        )
        return Part(shard.service, shard.part.stamp, records)


def _pace_of(ask: Ask, tools: RunContext, unread_ms: float) -> RequestSchedule:
    now_ms = tools.now_ms()
    patience_ms = ask.answer_left_ms - unread_ms - _BACK_MS
    patience_ms -= tools.answer_lag.lag_ms
    slow_ms = slow_threshold_ms(tools.response_times, ask.route)
    end_ms = now_ms + max(0, ask.left_ms - unread_ms)
    return RequestSchedule.within(now_ms, patience_ms, slow_ms, end_ms, end_ms)


def _route_of(ask: Ask, gather: Gather) -> Route:
    return Route(
        name=ask.route,
        host=ask.host,
        prefix='',
        work=Work.IDEMPOTENT,
        timeout_ms=ask.left_ms,
        target_ms=ask.answer_left_ms,
        attempts=ask.attempts,
        priority=0,
        gather=gather,
    )


def _request_of(ask: Ask, now_ms: float) -> CallerRequest:
    return CallerRequest(
        method=ask.method,
        target=ask.target,
        host=ask.host,
        headers=tuple((name, content) for name, content in ask.headers),
        body=ask.body,
        request_id=ask.request_id,
        time_left_ms=ask.left_ms,
        arrived_ms=now_ms,
    )
