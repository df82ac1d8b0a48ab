"""Runs one query, from selecting a snapshot to answering."""

from collections.abc import Callable, Iterator
from typing import final

from ..model.messages import SubReply
from ..model.verdict import Reason
from .answer import make_answer, make_refusal
from .gather import Gather
from .messages import Finish, Query, QueryCommand
from .pin_selector import PinSelector
from .scatter import Scatter
from .shared_state import SharedQueryState, Tally

__all__ = ('QueryExecution',)

_Commands = Iterator[QueryCommand]


@final
class QueryExecution:
    """Runs one query: pin a snapshot, scatter, gather and answer.

    If backend servers no longer hold the pinned snapshot, the query restarts
    under another pin.  Parts gathered under different pins are never
    combined: the gather with the highest coverage becomes the answer.

    ``start``, ``receive`` and ``wake`` return the commands to carry out next.
    ``Finish`` is returned exactly once, as the last command.

    :ivar finished: whether ``Finish`` was returned.
    """

    def __init__(self, query: Query, shared: SharedQueryState) -> None:
        """Prepare without sending anything."""
        self.finished = False
        self._query = query
        self._shared = shared
        self._tally = Tally()
        self._pin_selector = PinSelector(query, shared)
        self._scatter: Scatter | None = None
        self._abandoned_gathers: list[Gather] = []

    def start(self, now_ms: float) -> tuple[QueryCommand, ...]:
        """Pin a snapshot and send the first sub-requests."""
        expired = now_ms >= self._query.deadline_ms
        snapshot = None if expired else self._pin_selector.select(now_ms)
        if snapshot is None:
            self.finished = True
            reason = Reason.NO_SNAPSHOT
            if expired:
                reason = Reason.DEADLINE_EXPIRED
            return (Finish(make_refusal(reason, self._tally)),)
        self._scatter = Scatter(
            self._query,
            snapshot,
            self._shared,
            self._tally,
        )
        commands = self._step(now_ms, lambda scatter: scatter.start(now_ms))
        self._tally.count_primaries()
        budget = self._shared.retry_budgets.of(self._query.contract)
        budget.add_primaries(self._tally.primaries)
        return commands

    def receive(
        self,
        reply: SubReply,
        now_ms: float,
    ) -> tuple[QueryCommand, ...]:
        """Process a reply, also one whose call is unknown."""
        return self._step(
            now_ms,
            lambda scatter: scatter.receive(reply, now_ms),
        )

    def wake(self, now_ms: float) -> tuple[QueryCommand, ...]:
        """Send the attempts that are due, or answer at the deadline."""
        return self._step(now_ms, lambda scatter: scatter.wake(now_ms))

    def next_wakeup_ms(self) -> float | None:
        """Return when to call ``wake``, ``None`` once finished."""
        if self._scatter is None or self.finished:
            return None
        return min(self._query.deadline_ms, self._scatter.timers.next_ms())

    def _step(
        self,
        now_ms: float,
        make_commands: Callable[[Scatter], _Commands],
    ) -> tuple[QueryCommand, ...]:
        """Run one step of the scatter, then restart or finish if needed."""
        scatter = self._scatter
        if scatter is None or self.finished:
            return ()
        commands: list[QueryCommand] = []
        expired = now_ms >= self._query.deadline_ms
        if not expired:
            commands.extend(make_commands(scatter))
            if scatter.shards.pin_unavailable:
                scatter = self._restart(scatter, now_ms, commands)
        if expired or _is_decided(self._query, scatter):
            self.finished = True
            commands.extend(scatter.cancel())
            gather = max(
                (scatter.gather, *self._abandoned_gathers),
                key=Gather.fraction,
            )
            answer = make_answer(self._query, gather, self._tally)
            commands.append(Finish(answer))
        return tuple(commands)

    def _restart(
        self,
        old_scatter: Scatter,
        now_ms: float,
        commands: list[QueryCommand],
    ) -> Scatter:
        """Restart under another pin, if one is left and time allows.

        :returns: the new scatter, or the old one if there is no restart.
        """
        snapshot = self._pin_selector.select_next(now_ms)
        if snapshot is None:
            return old_scatter
        commands.extend(old_scatter.cancel())
        self._abandoned_gathers.append(old_scatter.gather)
        scatter = Scatter(self._query, snapshot, self._shared, self._tally)
        self._scatter = scatter
        sent_before = self._tally.sent
        commands.extend(scatter.start(now_ms))
        budget = self._shared.retry_budgets.of(self._query.contract)
        budget.charge(self._tally.sent - sent_before)
        return scatter


def _is_decided(query: Query, scatter: Scatter) -> bool:
    """Whether no shard is pending or the minimum coverage is unreachable."""
    minimum = query.contract.minimum_coverage
    shards = scatter.shards
    return not shards.pending or shards.reachable_fraction < minimum
