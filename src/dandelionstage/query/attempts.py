"""Decides whether and where the next attempt at a shard is sent."""

from collections.abc import Iterator
from typing import Final, final

from ..model.messages import SubReply
from ..model.verdict import Reason, Run, Verdict
from ..retries.backoff import backoff_ms
from ..retries.retry_steps import RetryStep, needs_no_budget, retry_step
from ..routing.targets import Target
from .dispatch import Dispatcher
from .messages import Query, QueryCommand
from .shard_progress import Attempt, ScatterProgress, ShardProgress
from .shared_state import SharedQueryState, Tally
from .stragglers import is_straggler, measure_wait
from .target_selection import (
    select_first,
    select_hedge,
    select_next,
    select_retry,
)

__all__ = ('AttemptPlanner',)

#: Attempts at one shard under one pin, including the first one.
_MAX_ATTEMPTS: Final = 4
#: Attempts at one shard under one pin while every retry is exempt from the
#: retry budget.  With the backoff they span about 0.3 s, within which other VMs
#: learn that an owner is stopping or has restarted.
_MAX_EXEMPT_ATTEMPTS: Final = 9

_Commands = Iterator[QueryCommand]


@final
class AttemptPlanner:  # noqa: WPS214 -- a short method for each step
    """Plans the first attempts, retries and hedges under one pin.

    The methods return commands; the caller carries them out.  A retry or a
    hedge is charged to the customer's retry budget.  A retry is exempt if
    every earlier attempt at the shard was refused before it ran and
    ``needs_no_budget`` holds for the reason.
    """

    def __init__(
        self,
        query: Query,
        shards: ScatterProgress,
        dispatcher: Dispatcher,
        shared: SharedQueryState,
        tally: Tally,
    ) -> None:
        """Plan attempts at the shards of one scatter."""
        self._query = query
        self._shards = shards
        self._dispatcher = dispatcher
        self._shared = shared
        self._tally = tally

    def send_first(self, progress: ShardProgress, now_ms: float) -> _Commands:
        """Send the first attempt, and a probe if one is due.

        A probe is charged to the retry budget.
        """
        targets = select_first(self._query, progress, self._shared, now_ms)
        if not targets:
            self._give_up(progress, Reason.NO_REPLICA)
            return
        yield self._dispatcher.send(progress, targets[0], now_ms)
        budget = self._shared.retry_budgets.of(self._query.contract)
        for slow in targets[1:]:
            if budget.take():
                self._tally.events[Reason.HEDGED] += 1
                yield self._dispatcher.send(progress, slow, now_ms, probe=True)

    def handle_failure(
        self,
        attempt: Attempt,
        reply: SubReply,
        verdict: Verdict,
        now_ms: float,
    ) -> _Commands:
        """Retry at once, schedule a retry or give the shard up.

        :param attempt: an attempt that ended without a valid part.
        """
        progress = self._shards[attempt.shard]
        step = retry_step(verdict.reason)
        newly_excluded = progress.exclude_failed(step, attempt, reply)
        progress.needs_budget = progress.needs_budget or not _is_exempt(verdict)
        if step is RetryStep.GIVE_UP or progress.no_replica_has_pin:
            self._give_up(progress, verdict.reason)
            return
        target = select_next(self._query, progress, self._shared, now_ms)
        at_once = (
            newly_excluded and _is_exempt(verdict) and not progress.in_flight
        )
        if target and at_once and not _is_busy(progress, target):
            self._tally.events[verdict.reason] += 1
            yield self._dispatcher.send(progress, target, now_ms)
        else:
            self._schedule_retry(progress, verdict, now_ms)

    def send_due(self, progress: ShardProgress, now_ms: float) -> _Commands:
        """Send the hedge or retry that is due, if rules and budget allow it.

        A hedge is sent only if the shard is a straggler.  If the retry budget
        is empty, only an exempt retry is sent; otherwise the shard is given up
        unless an attempt is in flight.
        """
        if progress.in_flight and not self._is_straggler(progress, now_ms):
            self._dispatcher.schedule_hedge(progress, now_ms)
            return
        select = select_hedge if progress.in_flight else select_retry
        target = select(self._query, progress, self._shared, now_ms)
        if target is None:
            self._give_up(progress, Reason.NO_REPLICA)
        elif self._charge_budget(progress):
            self._tally.events[Reason.HEDGED] += bool(progress.in_flight)
            yield self._dispatcher.send(progress, target, now_ms)
        else:
            self._tally.events[Reason.RETRY_BUDGET_EMPTY] += 1
            self._dispatcher.schedule_hedge(progress, now_ms)
            self._give_up(progress, Reason.RETRY_BUDGET_EMPTY)

    def _charge_budget(self, progress: ShardProgress) -> bool:
        """Charge the next attempt to the budget unless it is exempt.

        :returns: whether the attempt may be sent.
        """
        if not progress.in_flight and not progress.needs_budget:
            return True
        return self._shared.retry_budgets.of(self._query.contract).take()

    def _is_straggler(self, progress: ShardProgress, now_ms: float) -> bool:
        wait = measure_wait(self._query, progress, self._shared, now_ms)
        return is_straggler(self._shards, wait)

    def _schedule_retry(
        self,
        progress: ShardProgress,
        verdict: Verdict,
        now_ms: float,
    ) -> None:
        due_ms = now_ms + backoff_ms(
            progress.attempts,
            verdict.retry_after_ms,
            self._shared.random,
        )
        too_late = due_ms >= self._query.deadline_ms
        limit = _MAX_ATTEMPTS if progress.needs_budget else _MAX_EXEMPT_ATTEMPTS
        if too_late or progress.attempts >= limit:
            self._give_up(progress, verdict.reason)
        else:
            self._tally.events[verdict.reason] += 1
            self._dispatcher.timers.schedule(progress, due_ms)

    def _give_up(self, progress: ShardProgress, reason: Reason) -> None:
        """Mark the shard as lost unless an attempt is still in flight."""
        if not progress.in_flight:
            self._tally.last_refusal = reason
            self._shards.mark_lost(progress)


def _is_exempt(verdict: Verdict) -> bool:
    """Whether a retry after this verdict is exempt from the retry budget."""
    return verdict.run is Run.NOT_RUN and needs_no_budget(verdict.reason)


def _is_busy(progress: ShardProgress, target: Target) -> bool:
    return target.owner_key.data_centre in progress.busy_data_centres
