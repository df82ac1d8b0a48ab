"""Decides on the next attempt at a shard."""

from collections.abc import Iterator
from typing import Final, final

from ..model.messages import SubReply
from ..model.verdict import Reason, Run, Verdict
from ..retries.backoff import backoff_ms
from ..retries.retry_steps import RetryStep, needs_no_budget, retry_step
from ..routing.targets import Target
from .dispatch import Dispatch
from .messages import Query, QueryCommand
from .picking import pick_first, pick_hedge, pick_next, pick_retry
from .shard import Attempt, ShardProgress, Shards
from .stragglers import is_straggler, measure_wait
from .tools import QueryTools, Tally

__all__ = ('Attempts',)

#: Attempts at one shard under one pin, the first one included.
_MAX_ATTEMPTS: Final = 4
#: ... while owners refuse and no backend server has had work: with the backoff
#: that is about 0.3 s, in which VMs hear that one of them stops or is back.
_MAX_REFUSED: Final = 9

_Commands = Iterator[QueryCommand]


@final
class Attempts:  # noqa: WPS214 -- every kind of attempt, short methods
    """First attempts, retries and hedges under one pin.

    A retry or a hedge needs the customer's budget, unless no attempt before it
    cost a backend server any work.
    """

    def __init__(
        self,
        query: Query,
        shards: Shards,
        dispatch: Dispatch,
        tools: QueryTools,
        tally: Tally,
    ) -> None:
        """Decide for these shards."""
        self._query = query
        self._shards = shards
        self._dispatch = dispatch
        self._tools = tools
        self._tally = tally

    def begin(self, progress: ShardProgress, now_ms: float) -> _Commands:
        """Make the first attempt, at times beside a slow place as well."""
        picked = pick_first(self._query, progress, self._tools, now_ms)
        if not picked:
            self._give_up(progress, Reason.NO_REPLICA)
            return
        yield self._dispatch.send(progress, picked[0], now_ms)
        budget = self._tools.budgets.of(self._query.contract)
        for slow in picked[1:]:
            if budget.take():
                self._tally.events[Reason.HEDGED] += 1
                yield self._dispatch.send(progress, slow, now_ms, probe=True)

    def move_on(
        self,
        attempt: Attempt,
        reply: SubReply,
        verdict: Verdict,
        now_ms: float,
    ) -> _Commands:
        """Go on after an attempt that brought no part."""
        progress = self._shards[attempt.shard]
        move = retry_step(verdict.reason)
        news = progress.rule_out(move, attempt, reply)
        progress.reached = progress.reached or not _is_free(verdict)
        if move is RetryStep.GIVE_UP or progress.all_gone:
            self._give_up(progress, verdict.reason)
            return
        target = pick_next(self._query, progress, self._tools, now_ms)
        free = news and _is_free(verdict) and not progress.out
        if target and free and not _is_busy(progress, target):
            self._tally.events[verdict.reason] += 1
            yield self._dispatch.send(progress, target, now_ms)
        else:
            self._plan_retry(progress, verdict, now_ms)

    def add(self, progress: ShardProgress, now_ms: float) -> _Commands:
        """Make the hedge or the retry that is due, if it is worth it."""
        if progress.out and not self._is_straggler(progress, now_ms):
            self._dispatch.plan_hedge(progress, now_ms)
            return
        pick = pick_hedge if progress.out else pick_retry
        target = pick(self._query, progress, self._tools, now_ms)
        if target is None:
            self._give_up(progress, Reason.NO_REPLICA)
        elif self._is_paid(progress):
            self._tally.events[Reason.HEDGED] += bool(progress.out)
            yield self._dispatch.send(progress, target, now_ms)
        else:
            self._tally.events[Reason.RETRY_BUDGET_EMPTY] += 1
            self._dispatch.plan_hedge(progress, now_ms)
            self._give_up(progress, Reason.RETRY_BUDGET_EMPTY)

    def _is_paid(self, progress: ShardProgress) -> bool:
        """Take what the next attempt costs: nothing while none has run."""
        if not progress.out and not progress.reached:
            return True
        return self._tools.budgets.of(self._query.contract).take()

    def _is_straggler(self, progress: ShardProgress, now_ms: float) -> bool:
        waited = measure_wait(self._query, progress, self._tools, now_ms)
        return is_straggler(self._shards, waited)

    def _plan_retry(
        self,
        progress: ShardProgress,
        verdict: Verdict,
        now_ms: float,
    ) -> None:
        due_ms = now_ms + backoff_ms(
            progress.attempts,
            verdict.retry_after_ms,
            self._tools.random,
        )
        too_late = due_ms >= self._query.deadline_ms
        most = _MAX_ATTEMPTS if progress.reached else _MAX_REFUSED
        if too_late or progress.attempts >= most:
            self._give_up(progress, verdict.reason)
        else:
            self._tally.events[verdict.reason] += 1
            self._dispatch.timers.plan(progress, due_ms)

    def _give_up(self, progress: ShardProgress, reason: Reason) -> None:
        if not progress.out:
            self._tally.last_refusal = reason
            self._shards.lose(progress)


def _is_free(verdict: Verdict) -> bool:
    return verdict.run is Run.NOT_RUN and needs_no_budget(verdict.reason)


def _is_busy(progress: ShardProgress, target: Target) -> bool:
    return target.owner_key.data_centre in progress.busy
