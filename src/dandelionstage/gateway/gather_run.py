"""Processing of a scatter-gather query over many shards."""

from collections.abc import Callable, Mapping, Sequence
from http import HTTPStatus
from typing import Final, final

from ..catalog.routes import Gather, Route, ServiceId
from ..placing.shard_choice import (
    choose_skipped_shards,
    quiet_left_ms,
    unreachable_shards,
)
from ..retries.backoff import backoff_ms
from .attempt import AttemptPurpose
from .records import greatest_records
from .relays import Relay, RelayedQuery
from .request_schedule import RequestSchedule
from .requests import Answer, CallerRequest, error_answer
from .run_context import RunContext
from .run_helpers import AnswerOnce, SingleTimer
from .shard_attempts import QueryAttempts, ShardAttempts

__all__ = ('GatherRun',)

#: Number of servers that a suspect request may be sent to in vain, as they
#: are down, before the run gives up.
_MAX_UNSENT_TRIALS: Final = 4
#: A caller whose request was not sent may retry after a random time up to
#: twice this, when servers have restarted.
_RETRY_AFTER_MS: Final = 1000.0
#: Shards queried again after the target beyond those needed, as one may fail.
_SPARE_SHARDS: Final = 1
#: Attempt number for the first back-off after the target, which makes the
#: first wait random up to 64 ms and later ones longer.
_FIRST_BACKOFF_ATTEMPT: Final = 4
#: Longer waits that relays report count like this one.
_MAX_WAIT_MS: Final = 5000.0
_OCTET_STREAM_HEADER: Final = (b'content-type', b'application/octet-stream')


@final
class GatherRun:  # noqa: WPS214 -- short methods
    """Queries one server of each shard and answers with the greatest records.

    An answer is in time until the target latency of the route.  An incomplete
    answer is therefore sent at the target and not before, unless no further
    reply can arrive.  If too many shards lack a reply at the target, as many
    as needed are queried again, and the answer is sent as soon as enough have
    replied.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        schedule: RequestSchedule,
        context: RunContext,
        send_answer: Callable[[Answer], None],
    ) -> None:
        """Create a run over the shards of a route."""
        assert route.gather is not None  # noqa: S101 -- chosen by the caller
        self._request = request
        self._route = route
        self._gather: Gather = route.gather
        self._schedule = schedule
        self._context = context
        self._answer = AnswerOnce(send_answer)
        self._timer = SingleTimer(context)
        self._shards = QueryAttempts(
            request, route, schedule, context, self._answer_if_ready
        )
        self._relayed: list[tuple[Relay, RelayedQuery]] = []
        self._repeat_rounds = 0
        self._trials_left = _MAX_UNSENT_TRIALS
        self._deferred: list[ShardAttempts] = []
        # An attempt may fail while the others are still being sent; no answer
        # is sent before all are.
        self._is_sending = False

    def start(self) -> None:
        """Send the first attempt at every shard, directly or by relays."""
        self._request.on_disconnect = self.cancel
        now_ms = self._context.now_ms()
        self._is_sending = True
        self._assign_to_relays()
        skipped = choose_skipped_shards(
            self._gather, self._context.replicas, now_ms, self._context.random
        )
        for shard in self._shards.all:
            if shard.relayed is not None or shard.tried:
                # A relay queries it, or failed at once and was replaced.
                continue
            if shard.service in skipped:
                self._context.budgets.count_request(shard.service, now_ms)
                self._shards.log_left_out(shard)
            else:
                self._shards.send_first_attempt(shard)
        sent_ms = self._context.now_ms()
        self._timer.call_at(
            sent_ms + self._schedule.hedge_delay_ms, self._hedge
        )
        self._is_sending = False
        self._answer_if_ready()

    def start_trial(self) -> None:
        """Send the request to one server, and to the others if it answers."""
        self._request.on_disconnect = self.cancel
        self._deferred = list(self._shards.all)
        self._timer.call_at(self._schedule.answer_ms, self._reach_target)
        self._try_alone()

    def cancel(self) -> None:
        """Stop, as the caller has disconnected."""
        self._shards.record_ends()
        self._answer.discard()
        self._context.log.event(
            'caller_gone',
            request=self._request.log_id,
            route=self._route.name,
            parts=self._shards.part_count,
            shards=len(self._shards.all),
        )
        self._release(is_slow=False)

    def _assign_to_relays(self) -> None:
        """Send some of the shards to relays."""
        assignments = self._context.relays.assign_shards(self._gather.shards)
        if not assignments:
            return
        by_service = {shard.service: shard for shard in self._shards.all}
        for relay, group in assignments:
            self._send_to_relay(
                relay, [by_service[service] for service in group]
            )
        self._context.log.event(
            'query_shared',
            request=self._request.log_id,
            route=self._route.name,
            relays=[each[0].vm for each in assignments],
        )

    def _send_to_relay(
        self, relay: Relay, shards: Sequence[ShardAttempts]
    ) -> None:
        by_service = {shard.service: shard for shard in shards}
        query = RelayedQuery(
            self._request,
            self._route,
            self._schedule,
            {
                each.service: self._shards.create_relayed_attempt(each)
                for each in shards
            },
            lambda service, tried, is_all: by_service[service].record_tried(
                tried, is_all=is_all
            ),
            self._shards.record_relayed_ends,
            self._record_waits,
            self._apply_together,
        )
        self._relayed.append((relay, query))
        relay.send_query(query)

    def _record_waits(self, waits_ms: Mapping[str, float]) -> None:
        """Take what a relay knows of queues that this VM does not join."""
        now_ms = self._context.now_ms()
        for service, wait_ms in waits_ms.items():
            for replica in self._context.replicas.for_service(
                ServiceId(service)
            ):
                replica.queue.observe(min(wait_ms, _MAX_WAIT_MS), now_ms)

    def _apply_together(self, end_attempts: Callable[[], None]) -> None:
        """Take the parts of a report; answer only when all are taken."""
        was_sending = self._is_sending
        self._is_sending = True
        end_attempts()
        self._is_sending = was_sending
        self._answer_if_ready()

    def _hedge(self) -> None:
        self._shards.hedge()
        self._timer.call_at(self._schedule.answer_ms, self._reach_target)

    def _reach_target(self) -> None:
        """Answer if enough shards have replied, else query some again."""
        self._shards.is_past_target = True
        self._answer_if_ready()
        if not self._answer.is_pending:
            return
        if self._shards.is_suspect:
            self._timer.call_at(self._schedule.end_ms, self._time_out)
        else:
            self._repeat_missing()

    def _repeat_missing(self) -> None:
        """Query again as many shards as the answer lacks, plus a spare."""
        self._repeat_rounds += 1
        self._timer.call_at(self._schedule.end_ms, self._time_out)
        self._is_sending = True
        needed_count = (
            self._gather.least_parts - self._shards.part_count + _SPARE_SHARDS
        )
        for shard in self._shards.all:
            if needed_count > 0 and shard.part is None:
                needed_count -= self._shards.repeat(shard)
        self._is_sending = False
        self._answer_if_ready()

    def _answer_if_ready(self) -> None:
        """Answer, retry or fail if no other reply is worth waiting for."""
        if self._is_sending or not self._answer.is_pending:
            return
        if self._deferred and not self._shards.is_suspect:
            self._send_deferred()
        is_enough = self._shards.part_count >= self._gather.least_parts
        if is_enough and (
            self._shards.is_past_target or not self._shards.pending_shards
        ):
            self._succeed()
        elif not is_enough and not self._shards.pending_shards:
            self._handle_none_pending()

    def _handle_none_pending(self) -> None:
        """Query again after a back-off, or fail.

        The run fails if too little time is left for the back-off or too few
        shards are reachable.
        """
        if self._shards.is_suspect:
            self._try_alone()
            return
        if not self._shards.is_past_target:
            self._reach_target()
            return
        now_ms = self._context.now_ms()
        quiet_ms = quiet_left_ms(self._gather, self._context.replicas, now_ms)
        if quiet_ms:
            self._give_up('servers ask to be sent nothing', quiet_ms)
            return
        repeat_at_ms = now_ms + backoff_ms(
            _FIRST_BACKOFF_ATTEMPT + self._repeat_rounds,
            0,
            self._context.random,
        )
        unreachable = unreachable_shards(
            self._gather, self._context.replicas, now_ms
        )
        if repeat_at_ms >= self._schedule.end_ms or unreachable:
            self._fail(HTTPStatus.BAD_GATEWAY, 'too few shards answer')
        else:
            self._timer.call_at(repeat_at_ms, self._repeat_missing)

    def _try_alone(self) -> None:
        """Send the request to one server to find out if it ends that too."""
        self._shards.record_ends()
        if self._shards.is_deadly:
            self._give_up('servers end when they run this request')
            return
        has_time = self._context.now_ms() < self._schedule.end_ms
        self._is_sending = True
        while has_time and self._trials_left:
            self._trials_left -= 1
            if self._shards.send_trial() and self._shards.pending_shards:
                break
        self._is_sending = False
        if not self._shards.pending_shards:
            self._give_up('servers ended while they had this request')

    def _send_deferred(self) -> None:
        """Query the other shards, as a server has answered the trial."""
        deferred = [each for each in self._deferred if each.part is None]
        self._deferred = []
        self._is_sending = True
        for shard in deferred:
            if shard.unreached:
                self._shards.send_attempt(shard, AttemptPurpose.FIRST)
            elif not shard.pending:
                self._shards.send_first_attempt(shard)
        self._is_sending = False
        if not self._shards.is_past_target:
            now_ms = self._context.now_ms()
            self._timer.call_at(
                now_ms + self._schedule.hedge_delay_ms, self._hedge
            )

    def _give_up(self, reason: str, wait_ms: float = 0) -> None:
        """Answer a request that is not sent to further servers.

        :param wait_ms: time for which another request would be refused too.
        """
        if self._shards.was_sent:
            self._fail(HTTPStatus.BAD_GATEWAY, reason)
            return
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._log_end('query_failed', status, reason)
        retry_after_ms = wait_ms + self._context.random.uniform(
            _RETRY_AFTER_MS, 2 * _RETRY_AFTER_MS
        )
        self._answer.send(error_answer(status, reason, retry_after_ms))
        self._release(is_slow=False)

    def _time_out(self) -> None:
        self._fail(HTTPStatus.GATEWAY_TIMEOUT, 'too few shards in time')

    def _succeed(self) -> None:
        parts = [shard.part for shard in self._shards.all if shard.part]
        missing = len(self._shards.all) - len(parts)
        header_names = self._context.header_names
        stamps = ', '.join(part.stamp for part in parts)
        body = greatest_records(
            (part.body for part in parts), self._gather.record_count
        )
        if missing:
            self._log_end('partial_answer', HTTPStatus.OK)
        self._answer.send(
            Answer(
                HTTPStatus.OK.value,
                (
                    _OCTET_STREAM_HEADER,
                    (header_names.request_id, self._request.request_id),
                    (header_names.parts, stamps.encode('latin-1')),
                    (header_names.missing, b'%d' % missing),
                ),
                body,
            )
        )
        self._record_lag()
        self._release(is_slow=True)

    def _record_lag(self) -> None:
        """Record how late an answer was written that was due at the target."""
        if self._shards.is_past_target and not self._repeat_rounds:
            late_ms = self._context.now_ms() - self._schedule.answer_ms
            self._context.answer_lag.observe(late_ms)

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        self._shards.record_ends()
        self._log_end('query_failed', status, reason)
        self._answer.send(error_answer(status, reason))
        self._release(is_slow=True)

    def _release(self, *, is_slow: bool) -> None:
        self._timer.stop()
        self._shards.release(is_slow=is_slow)
        for relay, query in self._relayed:
            relay.cancel_query(query)
        self._relayed.clear()

    def _log_end(self, kind: str, status: HTTPStatus, reason: str = '') -> None:
        self._context.log.event(
            kind,
            request=self._request.log_id,
            route=self._route.name,
            status=status.value,
            reason=reason,
            parts=self._shards.part_count,
            shards=len(self._shards.all),
            least_parts=self._gather.least_parts,
            lacking={
                shard.service: shard.tried
                for shard in self._shards.all
                if not shard.part
            },
            waited_ms=round(
                self._context.now_ms() - self._request.arrived_ms, 1
            ),
        )
