"""Attempts to get one reply from each shard of a query."""

from collections.abc import Callable, Iterable
from typing import Final, final

from ..catalog.routes import Route, ServiceId
from ..catalog.servers import ServerId
from ..placing.replicas import Replica
from ..placing.shard_choice import should_skip
from .attempt import Attempt, AttemptPurpose, NoReply, Outcome, Reply
from .outcomes import is_success
from .ended_servers import EndedServers
from .request_schedule import RequestSchedule
from .requests import CallerRequest
from .run_context import Pool, RunContext
from .run_helpers import AttemptSender

__all__ = ('QueryAttempts', 'ShardAttempts')

#: An attempt that ends with less time left than this is attributed to its
#: deadline and not retried.
_MIN_RETRY_TIME_MS: Final = 8.0
#: An extra attempt is made only if it would wait at most this many times as
#: long as a request takes: while queries are refused, and otherwise.  After the
#: target, the caller has more time than the first attempts of other queries.
_MAX_EXTRA_QUEUE: Final = 0.3
_MAX_CALM_EXTRA_QUEUE: Final = 2.0
_MAX_LATE_QUEUE: Final = 2.0
_INFINITE: Final = float('inf')


@final
class ShardAttempts:
    """State of the attempts at one shard.

    :ivar service: service whose servers hold the shard.
    :ivar tried: servers that a request may have reached; the route limits
        their number.
    :ivar unreached: servers to which nothing was sent for lack of a
        connection.
    :ivar pending: attempts that have not ended.
    :ivar relayed: attempt that a relay carries out, ``None`` if there is
        none.
    :ivar unreported_count: number of servers to which a relay may have sent
        without reporting them.
    :ivar is_fully_reported: whether the relay has reported all servers to
        which it sends.
    :ivar part: reply of the shard, ``None`` before it arrives.
    """

    __slots__ = (
        'is_fully_reported',
        'part',
        'pending',
        'relayed',
        'service',
        'tried',
        'unreached',
        'unreported_count',
    )

    def __init__(self, service: ServiceId) -> None:
        """Create the state of a shard without attempts."""
        self.service = service
        self.tried: list[ServerId] = []
        self.unreached: list[ServerId] = []
        self.unreported_count = 0
        self.is_fully_reported = False
        self.pending: list[Attempt] = []
        self.relayed: Attempt | None = None
        self.part: Reply | None = None

    @property
    def chosen(self) -> list[ServerId]:
        """Servers chosen so far, whether reached or not."""
        return self.tried + self.unreached

    def may_try_another(self, route: Route) -> bool:
        """Whether the route allows an attempt at another server."""
        return len(self.tried) + self.unreported_count < route.attempts

    def update_tried(self, attempt: Attempt) -> None:
        """Move a server from tried to unreached if its attempt was not sent."""
        if attempt.sent_ms is None and attempt.server in self.tried:
            self.tried.remove(attempt.server)
            self.unreached.append(attempt.server)

    def record_tried(
        self, servers: Iterable[ServerId], *, is_all: bool
    ) -> None:
        """Record servers to which a relay has sent.

        :param is_all: whether the relay sends to no others.
        """
        self.is_fully_reported = is_all
        self.tried.extend(each for each in servers if each not in self.tried)


@final
class QueryAttempts:  # noqa: WPS214 -- short methods
    """Sends the attempts at the shards of one query and tracks their outcomes.

    The deadline given to servers is the target time.  A server at capacity
    then uses its slots for requests that it can answer in time, and late
    requests do not delay those queued behind them.  Only if no extra attempt
    is left in the budget, so that the shard could not be queried again after
    the target, servers that are not overloaded get the caller's full time.

    :ivar all: state of every shard.
    :ivar pending_shards: number of shards with attempts that have not ended.
    :ivar part_count: number of shards that have replied.
    :ivar is_past_target: whether the target time has passed.
    :ivar is_closed: whether failed attempts are no longer retried at other
        servers.
    :ivar was_sent: whether a server may have run the request.
    :ivar ended_shards: shards whose servers ended while they had the request.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        schedule: RequestSchedule,
        context: RunContext,
        on_change: Callable[[], None],
    ) -> None:
        """Create the state of a query without attempts.

        :param on_change: called after the end of each attempt.
        """
        self.pending_shards = 0
        self.part_count = 0
        self.is_past_target = False
        self.is_closed = False
        self.was_sent = False
        self.ended_shards: set[ServiceId] = set()
        self._ends = EndedServers(request, context)
        self._held: list[tuple[ShardAttempts, Attempt]] = []
        self._is_hedge_held = False
        self._request = request
        self._route = route
        self._schedule = schedule
        self._context = context
        self._on_change = on_change
        self._sender = AttemptSender(request, route, context)
        self._base = context.base_times.of_route(route.name)
        services = route.gather.shards if route.gather else ()
        self.all = [ShardAttempts(service) for service in services]

    @property
    def is_suspect(self) -> bool:
        """Whether servers ended under the request and none has answered it.

        It is then sent to no further server, except one at a time.
        """
        return not self.part_count and self._ends.is_any

    @property
    def is_deadly(self) -> bool:
        """Whether the request is to be sent to no further server."""
        return self._ends.is_deadly

    def record_ends(self) -> None:
        """Record the servers that have ended since the last trial."""
        if not self.part_count:
            self._ends.record()

    def record_relayed_ends(self, services: Iterable[ServiceId]) -> None:
        """Note servers that ended while they had the request of a relay."""
        for service in services:
            if service not in self.ended_shards:
                self.ended_shards.add(service)
                self._ends.add(self._request.arrived_ms)

    def send_trial(self) -> bool:
        """Send the request to one server, of any shard.

        The last server of a shard is spared until the others had time to
        restart.

        :returns: whether there was a server to send to.
        """
        shards = [
            shard
            for shard in self.all
            if shard.part is None
            and shard.may_try_another(self._route)
            and self._may_lose_server(shard)
        ]
        self._context.random.shuffle(shards)
        for shard in shards:
            if self._may_send_trial(shard):
                self._ends.begin_trial()
                return self.send_attempt(shard, AttemptPurpose.TRIAL)
        return False

    def send_attempt(
        self, shard: ShardAttempts, purpose: AttemptPurpose
    ) -> bool:
        """Send an attempt to a server of a shard, preferably an untried one.

        :returns: whether there was a server to send to.
        """
        replica = self._choose(shard)
        if replica is None:
            return False
        if replica.record.server not in shard.tried:
            shard.tried.append(replica.record.server)
        attempt = self._sender.send(
            replica,
            lambda ended, outcome: self._end(shard, ended, outcome),
            self._deadline_ms(replica),
            purpose=purpose,
        )
        self._add_pending(shard, attempt)
        return True

    def send_first_attempt(self, shard: ShardAttempts) -> None:
        """Send the first attempt at a shard."""
        self._context.budgets.count_request(
            shard.service, self._context.now_ms()
        )
        if not self.send_attempt(shard, AttemptPurpose.FIRST):
            self.log_left_out(shard)

    def create_relayed_attempt(self, shard: ShardAttempts) -> Attempt:
        """Create the attempt that a relay carries out."""
        attempt = Attempt(
            ServerId(''),
            self._request.request_id,
            lambda left_ms: b'',
            lambda ended, outcome: self._end(shard, ended, outcome),
        )
        attempt.deadline_ms = self._schedule.answer_ms
        attempt.started_ms = self._context.now_ms()
        shard.relayed = attempt
        self._add_pending(shard, attempt)
        return attempt

    def hedge(self) -> None:
        """Send a second attempt at each shard that is slow to reply."""
        if self._context.now_ms() >= self._schedule.answer_ms:
            # The process was paused, so no reply would arrive in time.
            return
        if self.is_suspect:
            self._is_hedge_held = True
            return
        for shard in self.all:
            is_own = shard.relayed is None and len(shard.pending) == 1
            if is_own and shard.may_try_another(self._route):
                self._hedge_shard(shard)

    def repeat(self, shard: ShardAttempts) -> bool:
        """Replace the attempts at a shard after the target.

        :returns: whether a reply of the shard may still arrive.
        """
        if shard.relayed is not None and not shard.is_fully_reported:
            # The relay may send attempts that it has not reported yet.
            return True
        replica = self._choose(shard)
        now_ms = self._context.now_ms()
        if replica is not None and not self._has_late_room(replica, now_ms):
            # First attempts of other queries can still be in time.
            return bool(shard.pending)
        late_retry = AttemptPurpose.LATE_RETRY
        if not self._sender.take_extra(shard.service, late_retry):
            return bool(shard.pending)
        self._abandon_pending(shard)
        return self.send_attempt(shard, late_retry)

    def release(self, *, is_slow: bool) -> None:
        """Drop all pending attempts.

        :param is_slow: whether to count their servers as slow.
        """
        for shard in self.all:
            for attempt in shard.pending:
                self._sender.abandon(attempt, is_slow=is_slow)
            shard.pending.clear()
        self.pending_shards = 0

    def log_left_out(self, shard: ShardAttempts) -> None:
        """Log that no further attempt at a shard is made."""
        self._context.log.event(
            'shard_left_out',
            request=self._request.log_id,
            service=shard.service,
            tried=len(shard.tried),
            known=len(self._context.replicas.for_service(shard.service)),
        )

    def _add_pending(self, shard: ShardAttempts, attempt: Attempt) -> None:
        if not attempt.ended:
            self.pending_shards += not shard.pending
            shard.pending.append(attempt)

    def _deadline_ms(self, replica: Replica[Pool]) -> float:
        """Return the deadline to give to a server."""
        if self.is_past_target:
            return self._schedule.deadline_ms
        if replica.throttle.may_skip:
            # An overloaded server must use its slots for replies in time.
            return self._schedule.answer_ms
        now_ms = self._context.now_ms()
        budget = self._context.budgets.remaining(replica.record.service, now_ms)
        return (
            self._schedule.answer_ms
            if budget >= 1
            else self._schedule.deadline_ms
        )

    def _choose_untried(self, shard: ShardAttempts) -> Replica[Pool] | None:
        return self._context.replicas.choose(
            shard.service, self._context.now_ms(), avoid=shard.chosen
        )

    def _may_send_trial(self, shard: ShardAttempts) -> bool:
        """Whether there is a server, and budget if the attempt is extra."""
        if self._choose_untried(shard) is None:
            return False
        if shard.tried:
            return self._sender.take_extra(shard.service, AttemptPurpose.TRIAL)
        self._context.budgets.count_request(
            shard.service, self._context.now_ms()
        )
        return True

    def _may_lose_server(self, shard: ShardAttempts) -> bool:
        """Whether the shard can be served if the server that is tried ends."""
        if self._ends.have_restarted:
            return True
        replicas = self._context.replicas.for_service(shard.service)
        up = sum(replica.pool.has_idle_connection for replica in replicas)
        return up > 1

    def _choose(self, shard: ShardAttempts) -> Replica[Pool] | None:
        now_ms = self._context.now_ms()
        replica: Replica[Pool] | None = None
        if shard.may_try_another(self._route):
            replica = self._context.replicas.choose(
                shard.service, now_ms, avoid=shard.chosen
            )
        if replica is None and self.is_past_target:
            # A server that did not reply before the target may do so now.
            replica = self._context.replicas.choose(
                shard.service, now_ms, among=shard.tried or shard.unreached
            )
        return replica

    def _end(
        self, shard: ShardAttempts, attempt: Attempt, outcome: Outcome
    ) -> None:
        self._sender.recorder.record_outcome(attempt, outcome)
        if attempt in shard.pending:
            shard.pending.remove(attempt)
            self.pending_shards -= not shard.pending
        was_relayed = attempt is shard.relayed
        if was_relayed:
            shard.relayed = None
        shard.update_tried(attempt)
        self._note_end(shard, attempt, outcome)
        if is_success(outcome) and isinstance(outcome, Reply):
            self._accept_part(shard, outcome)
        elif was_relayed:
            self._take_over_from_relay(shard, attempt, outcome)
        elif not self._ended_at_deadline(attempt):
            self._log_and_retry(shard, attempt, outcome)
        self._on_change()

    def _accept_part(self, shard: ShardAttempts, reply: Reply) -> None:
        shard.part = reply
        self.part_count += 1
        self._abandon_pending(shard)
        self._ends.record_answer()
        if self._held or self._is_hedge_held:
            self._resume_held()

    def _note_end(
        self, shard: ShardAttempts, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Note whether the request may have run, and if its server ended."""
        is_refused = isinstance(outcome, Reply) and not outcome.ran
        if attempt.sent_ms is None or is_refused:
            return
        self.was_sent = True
        if outcome is NoReply.SERVER_ENDED:
            self.ended_shards.add(shard.service)
            self._ends.add(attempt.sent_ms)
            if len(self.ended_shards) * 2 > len(self.all):
                # Other VMs should know before the last server has ended.
                self.record_ends()

    def _resume_held(self) -> None:
        """Send what was held back until a server answered."""
        held = self._held
        self._held = []
        for shard, attempt in held:
            if shard.part is None and not shard.pending:
                self._retry(shard, attempt)
        if self._is_hedge_held:
            self._is_hedge_held = False
            self.hedge()

    def _abandon_pending(self, shard: ShardAttempts) -> None:
        self.pending_shards -= bool(shard.pending)
        for slower in shard.pending:
            self._sender.abandon(slower, is_slow=True)
            shard.update_tried(slower)
        shard.pending.clear()
        shard.relayed = None

    def _ended_at_deadline(self, attempt: Attempt) -> bool:
        """Whether an attempt has ended because of its deadline."""
        return (
            self._context.now_ms() >= attempt.deadline_ms - _MIN_RETRY_TIME_MS
        )

    def _take_over_from_relay(
        self, shard: ShardAttempts, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Query a shard from this VM after its relay returned no reply."""
        if attempt.sent_ms is None:
            # The relay did not take the query, so this is the first attempt.
            if self.is_suspect:
                self._held.append((shard, attempt))
            else:
                self.send_first_attempt(shard)
            return
        if not shard.is_fully_reported and not shard.tried:
            shard.unreported_count = self._count_unreported(attempt)
        if self.is_past_target or not self._ended_at_deadline(attempt):
            self._log_and_retry(shard, attempt, outcome)

    def _count_unreported(self, attempt: Attempt) -> int:
        """Return the number of servers that a relay may have sent to."""
        waited_ms = self._context.now_ms() - attempt.started_ms
        if waited_ms < self._schedule.hedge_delay_ms:
            return 1
        # The relay may also have hedged.
        return self._route.attempts

    def _log_and_retry(
        self, shard: ShardAttempts, attempt: Attempt, outcome: Outcome
    ) -> None:
        self._sender.log_failure(shard.service, attempt, outcome)
        if self.is_suspect:
            self._held.append((shard, attempt))
        else:
            self._retry(shard, attempt)

    def _retry(self, shard: ShardAttempts, attempt: Attempt) -> None:
        """Send an attempt at another server after a failure, if allowed."""
        if (
            self.is_closed
            or shard.pending
            or not shard.may_try_another(self._route)
        ):
            return
        other = self._choose(shard)
        if other is not None and not self._has_room(
            other, self._context.now_ms()
        ):
            # A server that is as full would refuse it as well.
            self.log_left_out(shard)
            return
        # An attempt that was never sent put no load on a server.
        costs_nothing = attempt.sent_ms is None
        retry = AttemptPurpose.RETRY
        if costs_nothing or self._sender.take_extra(shard.service, retry):
            if self.send_attempt(shard, retry):
                return
        self.log_left_out(shard)

    def _has_room(self, replica: Replica[Pool], now_ms: float) -> bool:
        """Whether an extra attempt would take no room from first attempts."""
        is_refusing = bool(self._context.admission.refused_fraction)
        longest = _MAX_EXTRA_QUEUE if is_refusing else _MAX_CALM_EXTRA_QUEUE
        return self._has_queue_below(longest, replica, now_ms)

    def _has_late_room(self, replica: Replica[Pool], now_ms: float) -> bool:
        """Whether to repeat an attempt after the target while overloaded."""
        if not self._context.admission.refused_fraction:
            return True
        return self._has_queue_below(_MAX_LATE_QUEUE, replica, now_ms)

    def _has_queue_below(
        self, longest: float, replica: Replica[Pool], now_ms: float
    ) -> bool:
        """Whether a request waits at most so many times as long as it takes."""
        base_ms = self._base.base_ms
        if not base_ms:
            # Nothing is known before the first answer.
            return True
        return replica.queue.delay_ms(now_ms) <= base_ms * longest

    def _hedge_shard(self, shard: ShardAttempts) -> None:
        now_ms = self._context.now_ms()
        self._sender.recorder.record_slow(shard.pending[0])
        first = self._context.replica_of(shard.pending[0].server)
        other = self._context.replicas.choose(
            shard.service, now_ms, avoid=shard.chosen
        )
        if other is None or should_skip(other, now_ms, self._context.random):
            return
        if not self._has_room(other, now_ms):
            return
        if shard.pending[0].sent_ms is None:
            # Nothing was sent, so another server is not an extra attempt.
            self._abandon_pending(shard)
            self.send_attempt(shard, AttemptPurpose.FIRST)
            return
        # A server with a higher cost would not reply sooner.
        first_cost = first.cost(now_ms) if first else _INFINITE
        is_better = other.cost(now_ms) <= first_cost
        if is_better and self._sender.take_extra(
            shard.service, AttemptPurpose.HEDGE
        ):
            self.send_attempt(shard, AttemptPurpose.HEDGE)
