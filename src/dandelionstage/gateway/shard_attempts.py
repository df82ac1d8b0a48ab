"""Asks servers of the shards of one query until each has answered."""

from collections.abc import Callable, Iterable
from typing import Final, final

from ..catalog.routes import Route, ServiceId
from ..catalog.servers import ServerId
from ..placing.replicas import Replica
from ..placing.shard_choice import is_skipped
from .attempt import Attempt, Outcome, Reply
from .outcomes import is_good
from .request_schedule import RequestSchedule
from .requests import CallerRequest
from .run_context import Pool, RunContext
from .run_helpers import Sender

__all__ = ('ShardAttempts', 'QueryAttempts')

#: With less time than this left of an attempt, its end is due to the time.
_RETRY_LEAST_MS: Final = 8.0
_INFINITE: Final = float('inf')


@final
class ShardAttempts:
    """What was asked of one shard.

    :ivar tried: servers that a request may have reached; their number is
        limited.
    :ivar missed: servers that none was sent to for want of a connection.
    :ivar relayed: what another VM was asked to do here, while it does.
    :ivar hidden: servers that it may have sent to without saying which.
    :ivar is_told: whether it has said all that it sent to.
    """

    __slots__ = (
        'hidden',
        'is_told',
        'missed',
        'out',
        'part',
        'relayed',
        'service',
        'tried',
    )

    def __init__(self, service: ServiceId) -> None:
        """Start with nothing asked."""
        self.service = service
        self.tried: list[ServerId] = []
        self.missed: list[ServerId] = []
        self.hidden = 0
        self.is_told = False
        self.out: list[Attempt] = []
        self.relayed: Attempt | None = None
        self.part: Reply | None = None

    @property
    def asked(self) -> list[ServerId]:
        """Servers chosen so far, reached or not."""
        return self.tried + self.missed

    def may_ask(self, route: Route) -> bool:
        """Whether the route allows another server to be asked."""
        return len(self.tried) + self.hidden < route.attempts

    def miss(self, attempt: Attempt) -> None:
        """Take in that an attempt ended; one that was sent stays tried."""
        if attempt.sent_ms is None and attempt.server in self.tried:
            self.tried.remove(attempt.server)
            self.missed.append(attempt.server)

    def record_tried(
        self, servers: Iterable[ServerId], *, is_all: bool
    ) -> None:
        """Take in which servers another VM has sent to.

        :param is_all: whether it sends to no others.
        """
        self.is_told = is_all
        self.tried.extend(each for each in servers if each not in self.tried)


@final
class QueryAttempts:  # noqa: WPS214 -- short methods
    """The attempts at some shards of one query.

    Servers are told to stop at the target: what a full server can still
    answer in time then gets its slots, and no queue grows behind what comes
    too late.  Only where no extra attempt is left, those that are not
    overloaded may take all the caller's time.

    :ivar out: shards that an answer may still come from.
    :ivar parts: shards that have answered.
    :ivar is_late: whether the target has passed.
    :ivar is_closed: whether no further server is to be sent to.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        schedule: RequestSchedule,
        tools: RunContext,
        on_change: Callable[[], None],
    ) -> None:
        """Start with nothing asked.

        :param on_change: called whenever an attempt has ended.
        """
        self.pending_shards = 0
        self.parts = 0
        self.is_late = False
        self.is_closed = False
        self._request = request
        self._route = route
        self._pace = schedule
        self._tools = tools
        self._on_change = on_change
        self._sender = Sender(request, route, tools)
        services = route.gather.shards if route.gather else ()
        self.all = [ShardAttempts(service) for service in services]

    def ask(self, shard: ShardAttempts) -> bool:
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
        self._note_out(shard, attempt)
        return True

    def send_first_attempt(self, shard: ShardAttempts) -> None:
        """Ask a shard for the first time."""
        self._tools.budgets.earn(shard.service, self._tools.now_ms())
        if not self.ask(shard):
            self.note_left_out(shard)

    def relay(self, shard: ShardAttempts) -> Attempt:
        """Make the attempt that another VM is to carry out."""
        attempt = Attempt(
            ServerId(''),
            self._request.request_id,
            lambda left_ms: b'',
            lambda ended, ending: self._end(shard, ended, ending),
        )
        attempt.deadline_ms = self._pace.answer_ms
        attempt.started_ms = self._tools.now_ms()
        shard.relayed = attempt
        self._note_out(shard, attempt)
        return attempt

    def hedge(self) -> None:
        """Ask a second server of each shard that is slow to answer."""
        if self._tools.now_ms() >= self._pace.answer_ms:
            # The process was paused, and no answer would be in time.
            return
        for shard in self.all:
            is_own = shard.relayed is None and len(shard.out) == 1
            if is_own and shard.may_ask(self._route):
                self._hedge_shard(shard)

    def ask_again(self, shard: ShardAttempts) -> bool:
        """Tell whether an answer of a shard may still come."""
        if shard.relayed is not None and not shard.is_told:
            # The other VM may still be sending; its word is due.
            return True
        if not self._sender.take_extra(shard.service, 'late_retry'):
            return bool(shard.out)
        self._give_up(shard)
        return self.ask(shard)

    def release(self, *, is_slow: bool) -> None:
        """Lose interest in all attempts."""
        for shard in self.all:
            for attempt in shard.out:
                self._sender.give_up(attempt, is_slow=is_slow)
            shard.out.clear()
        self.pending_shards = 0

    def note_left_out(self, shard: ShardAttempts) -> None:
        """Log that no server of a shard is asked any more."""
        self._tools.log.event(
            'shard_left_out',
            request=self._request.log_id,
            service=shard.service,
            tried=len(shard.tried),
            known=len(self._tools.replicas.of(shard.service)),
        )

    def _note_out(self, shard: ShardAttempts, attempt: Attempt) -> None:
        if not attempt.ended:
            self.pending_shards += not shard.out
            shard.out.append(attempt)

    def _deadline_ms(self, replica: Replica[Pool]) -> float:
        """Say when a server is to stop working on an attempt."""
        if self.is_late:
            return self._pace.deadline_ms
        if replica.throttle.may_skip:
            # Overloaded: its slots are for what it can answer in time.
            return self._pace.answer_ms
        now_ms = self._tools.now_ms()
        budget = self._tools.budgets.left(replica.record.service, now_ms)
        return self._pace.answer_ms if budget >= 1 else self._pace.deadline_ms

    def _choose(self, shard: ShardAttempts) -> Replica[Pool] | None:
        now_ms = self._tools.now_ms()
        replica: Replica[Pool] | None = None
        if shard.may_ask(self._route):
            replica = self._tools.replicas.choose(
                shard.service, now_ms, avoid=shard.asked
            )
        if replica is None and self.is_late:
            # A server that did not answer in time may do so now.
            replica = self._tools.replicas.choose(
                shard.service, now_ms, among=shard.tried or shard.missed
            )
        return replica

    def _end(
        self, shard: ShardAttempts, attempt: Attempt, ending: Outcome
    ) -> None:
        self._sender.lessons.learn(attempt, ending)
        if attempt in shard.out:
            shard.out.remove(attempt)
            self.pending_shards -= not shard.out
        was_relayed = attempt is shard.relayed
        if was_relayed:
            shard.relayed = None
        shard.miss(attempt)
        if is_good(ending) and isinstance(ending, Reply):
            self._take_part(shard, ending)
        elif was_relayed:
            self._take_over(shard, attempt, ending)
        elif not self._is_in_vain(attempt):
            self._retry(shard, attempt, ending)
        self._on_change()

    def _take_part(self, shard: ShardAttempts, reply: Reply) -> None:
        shard.part = reply
        self.parts += 1
        self._give_up(shard)

    def _give_up(self, shard: ShardAttempts) -> None:
        self.pending_shards -= bool(shard.out)
        for slower in shard.out:
            self._sender.give_up(slower, is_slow=True)
            shard.miss(slower)
        shard.out.clear()
        shard.relayed = None

    def _is_in_vain(self, attempt: Attempt) -> bool:
        """Whether an attempt ended because its time was over."""
        return self._tools.now_ms() >= attempt.deadline_ms - _RETRY_LEAST_MS

    def _take_over(
        self, shard: ShardAttempts, attempt: Attempt, ending: Outcome
    ) -> None:
        """Ask from here what another VM did not bring."""
        if attempt.sent_ms is None:
            # It was not told to; this is the first attempt at the shard.
            self.send_first_attempt(shard)
            return
        if not shard.is_told and not shard.tried:
            shard.hidden = self._hidden_by(attempt)
        if self.is_late or not self._is_in_vain(attempt):
            self._retry(shard, attempt, ending)

    def _hidden_by(self, attempt: Attempt) -> int:
        """Tell to how many servers another VM may have sent unsaid."""
        waited_ms = self._tools.now_ms() - attempt.started_ms
        if waited_ms < self._pace.hedge_delay_ms:
            return 1
        # It may have hedged, too.
        return self._route.attempts

    def _retry(
        self, shard: ShardAttempts, attempt: Attempt, ending: Outcome
    ) -> None:
        """Ask another server of the shard after a failure."""
        self._sender.log_failure(shard.service, attempt, ending)
        if self.is_closed or shard.out or not shard.may_ask(self._route):
            return
        # What never left this VM is no extra load on any server.
        is_free = attempt.sent_ms is None
        if is_free or self._sender.take_extra(shard.service, 'retry'):
            if self.ask(shard):
                return
        self.note_left_out(shard)

    def _hedge_shard(self, shard: ShardAttempts) -> None:
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
            self.ask(shard)
            return
        # A server that is worse still would not answer sooner.
        first_cost = first.cost(now_ms) if first else _INFINITE
        is_better = other.cost(now_ms) <= first_cost
        if is_better and self._sender.take_extra(shard.service, 'hedge'):
            self.ask(shard)
