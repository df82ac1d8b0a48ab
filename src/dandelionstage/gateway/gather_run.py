"""One query over many shards, from its first sub-request to its answer."""

from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Final, final

from ..catalog.routes import Gather, Route
from ..placing.shard_choice import skipped_shards, unreachable_shards
from ..retries.backoff import backoff_ms
from .records import greatest_records
from .relays import Relay, RelayedQuery
from .request_schedule import RequestSchedule
from .requests import Answer, CallerRequest, refusal
from .run_context import RunContext
from .run_helpers import FirstAnswer, SingleTimer
from .shard_attempts import QueryAttempts, ShardAttempts

__all__ = ('GatherRun',)

#: Shards asked after the target beyond those needed, as one may fail.
_SPARE_SHARDS: Final = 1
#: The first wait after the target is random up to 64 ms, the next longer.
_BACKOFF_START: Final = 4
_OCTETS: Final = (b'content-type', b'application/octet-stream')


@final
class GatherRun:  # noqa: WPS214 -- one query's whole course, short methods
    """Asks one server of each shard and answers with the greatest records.

    Until the target nothing is lost by waiting, so an incomplete answer is
    given at the target and not before, unless the rest cannot come.
    After the target the shards without which there is no answer are asked
    again, and the answer is given as soon as it is complete enough.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        schedule: RequestSchedule,
        tools: RunContext,
        give: Callable[[Answer], None],
    ) -> None:
        """Take the set of shards of one version of the routes."""
        assert route.gather is not None  # noqa: S101 -- chosen by the caller
        self._request = request
        self._route = route
        self._gather: Gather = route.gather
        self._pace = schedule
        self._tools = tools
        self._answer = FirstAnswer(give)
        self._timer = SingleTimer(tools)
        self._shards = QueryAttempts(
            request, route, schedule, tools, self._decide
        )
        self._relayed: list[tuple[Relay, RelayedQuery]] = []
        self._late_rounds = 0
        self._is_deciding = False

    def start(self) -> None:
        """Ask every shard once."""
        self._request.on_gone = self.cancel
        now_ms = self._tools.now_ms()
        self._is_deciding = True
        self._relay()
        skipped = skipped_shards(
            self._gather, self._tools.replicas, now_ms, self._tools.random
        )
        for shard in self._shards.all:
            if shard.relayed is not None or shard.tried:
                continue
            if shard.service in skipped:
                self._tools.budgets.earn(shard.service, now_ms)
                self._shards.note_left_out(shard)
            else:
                self._shards.send_first_attempt(shard)
        sent_ms = self._tools.now_ms()
        self._timer.call_at(sent_ms + self._pace.hedge_delay_ms, self._hedge)
        self._is_deciding = False
        self._decide()

    def cancel(self) -> None:
        """Stop, as the caller is gone."""
        self._answer.drop()
        self._tools.log.event(
            'caller_gone',
            request=self._request.log_id,
            route=self._route.name,
            parts=self._shards.parts,
            shards=len(self._shards.all),
        )
        self._release(is_slow=False)

    def _relay(self) -> None:
        """Have other VMs ask some of the shards."""
        divided = self._tools.relays.divide(self._gather.shards)
        if not divided:
            return
        by_service = {shard.service: shard for shard in self._shards.all}
        for relay, group in divided:
            self._share(relay, [by_service[service] for service in group])
        self._tools.log.event(
            'query_shared',
            request=self._request.log_id,
            route=self._route.name,
            relays=[each[0].vm for each in divided],
        )

    def _share(self, relay: Relay, shards: Sequence[ShardAttempts]) -> None:
        by_service = {shard.service: shard for shard in shards}
        query = RelayedQuery(
            self._request,
            self._route,
            self._pace,
            {each.service: self._shards.relay(each) for each in shards},
            lambda service, tried, is_all: by_service[service].record_tried(
                tried, is_all=is_all
            ),
        )
        self._relayed.append((relay, query))
        relay.ask(query)

    def _hedge(self) -> None:
        self._shards.hedge()
        self._timer.call_at(self._pace.answer_ms, self._reach_target)

    def _reach_target(self) -> None:
        """Answer if that is possible, else ask again for what is needed."""
        self._shards.is_late = True
        self._decide()
        if self._answer.is_due:
            self._ask_late()

    def _ask_late(self) -> None:
        """Ask again for as many shards as an answer lacks."""
        self._late_rounds += 1
        self._timer.call_at(self._pace.end_ms, self._run_out)
        self._is_deciding = True
        lacking = self._gather.least_parts - self._shards.parts + _SPARE_SHARDS
        for shard in self._shards.all:
            if lacking > 0 and shard.part is None:
                lacking -= self._shards.ask_again(shard)
        self._is_deciding = False
        self._decide()

    def _decide(self) -> None:
        """Answer once waiting longer is of no use to the caller."""
        if self._is_deciding or not self._answer.is_due:
            return
        is_enough = self._shards.parts >= self._gather.least_parts
        if is_enough and (
            self._shards.is_late or not self._shards.pending_shards
        ):
            self._succeed()
        elif not is_enough and not self._shards.pending_shards:
            self._come_to_nothing()

    def _come_to_nothing(self) -> None:
        """Ask again a little later, while there is time and hope."""
        if not self._shards.is_late:
            self._reach_target()
            return
        now_ms = self._tools.now_ms()
        again_ms = now_ms + backoff_ms(
            _BACKOFF_START + self._late_rounds, 0, self._tools.random
        )
        hopeless = unreachable_shards(
            self._gather, self._tools.replicas, now_ms
        )
        if again_ms >= self._pace.end_ms or hopeless:
            self._fail(HTTPStatus.BAD_GATEWAY, 'too few shards answer')
        else:
            self._timer.call_at(again_ms, self._ask_late)

    def _run_out(self) -> None:
        self._fail(HTTPStatus.GATEWAY_TIMEOUT, 'too few shards in time')

    def _succeed(self) -> None:
        parts = [shard.part for shard in self._shards.all if shard.part]
        missing = len(self._shards.all) - len(parts)
        header_names = self._tools.header_names
        stamps = ', '.join(part.stamp for part in parts)
        body = greatest_records(
            (part.body for part in parts), self._gather.record_count
        )
        if missing:
            self._log_end('partial_answer', HTTPStatus.OK)
        self._answer.give(
            Answer(
                HTTPStatus.OK.value,
                (
                    _OCTETS,
                    (header_names.request_id, self._request.request_id),
                    (header_names.parts, stamps.encode('latin-1')),
                    (header_names.missing, b'%d' % missing),
                ),
                body,
            )
        )
        self._note_lag()
        self._release(is_slow=True)

    def _note_lag(self) -> None:
        """Take in how late an answer was that only waited for its time."""
        if self._shards.is_late and not self._late_rounds:
            late_ms = self._tools.now_ms() - self._pace.answer_ms
            self._tools.answer_lag.observe(late_ms)

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        self._log_end('query_failed', status, reason)
        self._answer.give(refusal(status, reason))
        self._release(is_slow=True)

    def _release(self, *, is_slow: bool) -> None:
        self._timer.stop()
        self._shards.release(is_slow=is_slow)
        for relay, query in self._relayed:
            relay.drop(query)
        self._relayed.clear()

    def _log_end(self, kind: str, status: HTTPStatus, reason: str = '') -> None:
        self._tools.log.event(
            kind,
            request=self._request.log_id,
            route=self._route.name,
            status=status.value,
            reason=reason,
            parts=self._shards.parts,
            shards=len(self._shards.all),
            least_parts=self._gather.least_parts,
            lacking={
                shard.service: shard.tried
                for shard in self._shards.all
                if not shard.part
            },
            waited_ms=round(self._tools.now_ms() - self._request.arrived_ms, 1),
        )
