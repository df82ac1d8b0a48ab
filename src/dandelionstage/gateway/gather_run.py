"""One query over many shards, from its first sub-request to its answer."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from ..catalog.routes import Gather, Route, ServiceId
from ..catalog.servers import ServerId
from ..placing.replicas import Replica
from ..placing.shard_choice import (
    is_skipped,
    skipped_shards,
    unreachable_shards,
)
from ..retries.backoff import backoff_ms
from .attempt import Attempt, Ending, Reply
from .lessons import is_good
from .pacing import Pace
from .records import greatest_records
from .requests import Answer, CallerRequest, refusal
from .run import FirstAnswer, OneTimer, Sender
from .tools import Pool, RunTools

__all__ = ('GatherRun',)

#: With less time than this left of an attempt, its end is due to the time.
_RETRY_LEAST_MS: Final = 8.0
#: Shards asked after the target beyond those needed, as one may fail.
_SPARE_SHARDS: Final = 1
#: The first wait after the target is random up to 64 ms, the next longer.
_BACKOFF_START: Final = 4
_INFINITE: Final = float('inf')
_OCTETS: Final = (b'content-type', b'application/octet-stream')


@final
class _Shard:
    """What was asked of one shard.

    :ivar tried: servers that a request may have reached; their number is
        limited.
    :ivar missed: servers that none was sent to for want of a connection.
    """

    __slots__ = ('missed', 'out', 'part', 'service', 'tried')

    def __init__(self, service: ServiceId) -> None:
        self.service = service
        self.tried: list[ServerId] = []
        self.missed: list[ServerId] = []
        self.out: list[Attempt] = []
        self.part: Reply | None = None

    @property
    def asked(self) -> list[ServerId]:
        """Servers chosen so far, reached or not."""
        return self.tried + self.missed

    def miss(self, attempt: Attempt) -> None:
        """Take in that an attempt ended; one that was sent stays tried."""
        if attempt.sent_ms is None and attempt.server in self.tried:
            self.tried.remove(attempt.server)
            self.missed.append(attempt.server)


@final
class GatherRun:  # noqa: WPS214 -- one query's whole course, short methods
    """Asks one server of each shard and answers with the greatest records.

    Until the target nothing is lost by waiting, so an incomplete answer is
    given at the target and not before, unless the rest cannot come.  Servers
    are told to stop at the target: what a full server can still answer in
    time then gets its slots, and no queue grows behind what comes too late.
    Only where no extra attempt is left, those that are not overloaded may take
    all the caller's time.
    After the target the shards without which there is no answer are asked
    again, and the answer is given as soon as it is complete enough.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        pace: Pace,
        tools: RunTools,
        give: Callable[[Answer], None],
    ) -> None:
        """Take the set of shards of one version of the routes."""
        assert route.gather is not None  # noqa: S101 -- chosen by the caller
        self._request = request
        self._route = route
        self._gather: Gather = route.gather
        self._pace = pace
        self._tools = tools
        self._answer = FirstAnswer(give)
        self._sender = Sender(request, route, tools)
        self._timer = OneTimer(tools)
        self._shards = [_Shard(shard) for shard in self._gather.shards]
        self._out = 0
        self._parts = 0
        self._is_late = False
        self._late_rounds = 0
        self._is_deciding = False

    def start(self) -> None:
        """Ask every shard once."""
        self._request.on_gone = self.cancel
        now_ms = self._tools.now_ms()
        self._is_deciding = True
        skipped = skipped_shards(
            self._gather, self._tools.replicas, now_ms, self._tools.random
        )
        for shard in self._shards:
            self._tools.budgets.earn(shard.service, now_ms)
            if shard.service in skipped or not self._ask(shard):
                self._note_left_out(shard)
        sent_ms = self._tools.now_ms()
        self._timer.call_at(sent_ms + self._pace.hedge_wait_ms, self._hedge)
        self._is_deciding = False
        self._decide()

    def cancel(self) -> None:
        """Stop, as the caller is gone."""
        self._answer.drop()
        self._tools.log.event(
            'caller_gone',
            request=self._request.log_id,
            route=self._route.name,
            parts=self._parts,
            shards=len(self._shards),
        )
        self._release(is_slow=False)

    def _ask(self, shard: _Shard) -> bool:
        """Send to a server of a shard, to a new one while that is allowed."""
        replica = self._choose(shard)
        if replica is None:
            return False
        if replica.record.server not in shard.tried:
            shard.tried.append(replica.record.server)
        attempt = self._sender.send(
            replica,
            lambda ended, ending: self._end(shard, ended, ending),
            self._deadline_ms(replica),
        )
        if not attempt.ended:
            self._out += not shard.out
            shard.out.append(attempt)
        return True

    def _deadline_ms(self, replica: Replica[Pool]) -> float:
        """Say when a server is to stop working on an attempt."""
        if self._is_late:
            return self._pace.deadline_ms
        if replica.throttle.may_skip:
            # Overloaded: its slots are for what it can answer in time.
            return self._pace.answer_ms
        now_ms = self._tools.now_ms()
        budget = self._tools.budgets.left(replica.record.service, now_ms)
        return self._pace.answer_ms if budget >= 1 else self._pace.deadline_ms

    def _choose(self, shard: _Shard) -> Replica[Pool] | None:
        now_ms = self._tools.now_ms()
        replica: Replica[Pool] | None = None
        if len(shard.tried) < self._route.attempts:
            replica = self._tools.replicas.choose(
                shard.service, now_ms, avoid=shard.asked
            )
        if replica is None and self._is_late:
            # A server that did not answer in time may do so now.
            replica = self._tools.replicas.choose(
                shard.service, now_ms, among=shard.tried or shard.missed
            )
        return replica

    def _end(self, shard: _Shard, attempt: Attempt, ending: Ending) -> None:
        self._sender.lessons.learn(attempt, ending)
        if attempt in shard.out:
            shard.out.remove(attempt)
            self._out -= not shard.out
        shard.miss(attempt)
        if is_good(ending) and isinstance(ending, Reply):
            self._take_part(shard, ending)
        elif not self._is_in_vain(attempt):
            self._retry(shard, attempt, ending)
        self._decide()

    def _take_part(self, shard: _Shard, reply: Reply) -> None:
        shard.part = reply
        self._parts += 1
        self._give_up(shard)

    def _give_up(self, shard: _Shard) -> None:
        self._out -= bool(shard.out)
        for slower in shard.out:
            self._sender.give_up(slower, is_slow=True)
            shard.miss(slower)
        shard.out.clear()

    def _is_in_vain(self, attempt: Attempt) -> bool:
        """Whether an attempt ended because its time was over."""
        return self._tools.now_ms() >= attempt.deadline_ms - _RETRY_LEAST_MS

    def _retry(self, shard: _Shard, attempt: Attempt, ending: Ending) -> None:
        """Ask another server of the shard after a failure."""
        self._sender.log_failure(shard.service, attempt, ending)
        if shard.out or len(shard.tried) >= self._route.attempts:
            return
        # What never left this VM is no extra load on any server.
        is_free = attempt.sent_ms is None
        if is_free or self._sender.take_extra(shard.service, 'retry'):
            if self._ask(shard):
                return
        self._note_left_out(shard)

    def _note_left_out(self, shard: _Shard) -> None:
        self._tools.log.event(
            'shard_left_out',
            request=self._request.log_id,
            service=shard.service,
            tried=len(shard.tried),
            known=len(self._tools.replicas.of(shard.service)),
        )

    def _hedge(self) -> None:
        """Ask a second server of each shard that is slow to answer."""
        for shard in self._shards:
            may_ask = len(shard.tried) < self._route.attempts
            if may_ask and len(shard.out) == 1:
                self._hedge_shard(shard)
        self._timer.call_at(self._pace.answer_ms, self._reach_target)

    def _hedge_shard(self, shard: _Shard) -> None:
        now_ms = self._tools.now_ms()
        self._sender.lessons.note_slow(shard.out[0])
        first = self._tools.replica_of(shard.out[0].server)
        other = self._tools.replicas.choose(
            shard.service, now_ms, avoid=shard.asked
        )
        if other is None or is_skipped(other, now_ms, self._tools.random):
            return
        if shard.out[0].sent_ms is None:
            # Nothing left this VM, so another server is no extra attempt.
            self._give_up(shard)
            self._ask(shard)
            return
        # A server that is worse still would not answer sooner.
        first_cost = first.cost(now_ms) if first else _INFINITE
        is_better = other.cost(now_ms) <= first_cost
        if is_better and self._sender.take_extra(shard.service, 'hedge'):
            self._ask(shard)

    def _reach_target(self) -> None:
        """Answer if that is possible, else ask again for what is needed."""
        self._is_late = True
        self._decide()
        if self._answer.is_due:
            self._ask_late()

    def _ask_late(self) -> None:
        """Ask again for as many shards as an answer lacks."""
        self._late_rounds += 1
        self._timer.call_at(self._pace.end_ms, self._run_out)
        self._is_deciding = True
        lacking = self._gather.least_parts - self._parts + _SPARE_SHARDS
        for shard in self._shards:
            if lacking > 0 and shard.part is None:
                lacking -= self._ask_again(shard)
        self._is_deciding = False
        self._decide()

    def _ask_again(self, shard: _Shard) -> bool:
        """Tell whether an answer of a shard may still come."""
        if not self._sender.take_extra(shard.service, 'late_retry'):
            return bool(shard.out)
        self._give_up(shard)
        return self._ask(shard)

    def _decide(self) -> None:
        """Answer once waiting longer is of no use to the caller."""
        if self._is_deciding or not self._answer.is_due:
            return
        is_enough = self._parts >= self._gather.least_parts
        if is_enough and (self._is_late or not self._out):
            self._succeed()
        elif not is_enough and not self._out:
            self._come_to_nothing()

    def _come_to_nothing(self) -> None:
        """Ask again a little later, while there is time and hope."""
        if not self._is_late:
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
        parts = [shard.part for shard in self._shards if shard.part]
        missing = len(self._shards) - len(parts)
        names = self._tools.names
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
                    (names.request_id, self._request.request_id),
                    (names.parts, stamps.encode('latin-1')),
                    (names.missing, b'%d' % missing),
                ),
                body,
            )
        )
        self._note_lag()
        self._release(is_slow=True)

    def _note_lag(self) -> None:
        """Take in how late an answer was that only waited for its time."""
        if self._is_late and not self._late_rounds:
            late_ms = self._tools.now_ms() - self._pace.answer_ms
            self._tools.lag.observe(late_ms)

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        self._log_end('query_failed', status, reason)
        self._answer.give(refusal(status, reason))
        self._release(is_slow=True)

    def _release(self, *, is_slow: bool) -> None:
        self._timer.stop()
        for shard in self._shards:
            for attempt in shard.out:
                self._sender.give_up(attempt, is_slow=is_slow)
            shard.out.clear()
        self._out = 0

    def _log_end(self, kind: str, status: HTTPStatus, reason: str = '') -> None:
        self._tools.log.event(
            kind,
            request=self._request.log_id,
            route=self._route.name,
            status=status.value,
            reason=reason,
            parts=self._parts,
            shards=len(self._shards),
            least_parts=self._gather.least_parts,
            lacking={
                shard.service: shard.tried
                for shard in self._shards
                if not shard.part
            },
            waited_ms=round(self._tools.now_ms() - self._request.arrived_ms, 1),
        )
