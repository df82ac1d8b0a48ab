"""Carries one query from its pin to its answer."""

from collections.abc import Callable, Iterator
from typing import final

from ..model.messages import SubReply
from ..model.verdict import Reason
from .answer import make_answer, make_refusal
from .gather import Gather
from .messages import Finish, Query, QueryCommand
from .pins import Pins
from .scatter import Scatter
from .tools import QueryTools, Tally

__all__ = ('QueryExecution',)

_Commands = Iterator[QueryCommand]


@final
class QueryExecution:
    """One query: pin, scatter, gather, answer.

    When the pin is gone the query starts again under another one.  Gathers
    of different pins are never joined: the one that covers most is answered.

    Each method returns what to do next; ``Finish`` comes exactly once and
    is the last.

    :ivar finished: whether ``Finish`` was returned.
    """

    def __init__(self, query: Query, tools: QueryTools) -> None:
        """Prepare without sending anything."""
        self.finished = False
        self._query = query
        self._tools = tools
        self._tally = Tally()
        self._pins = Pins(query, tools)
        self._scatter: Scatter | None = None
        self._given_up: list[Gather] = []

    def start(self, now_ms: float) -> tuple[QueryCommand, ...]:
        """Pin a snapshot and send the first sub-requests."""
        expired = now_ms >= self._query.deadline_ms
        snapshot = None if expired else self._pins.choose(now_ms)
        if snapshot is None:
            self.finished = True
            reason = Reason.NO_SNAPSHOT
            if expired:
                reason = Reason.DEADLINE_EXPIRED
            return (Finish(make_refusal(reason, self._tally)),)
        self._scatter = Scatter(
            self._query,
            snapshot,
            self._tools,
            self._tally,
        )
        commands = self._step(now_ms, lambda scatter: scatter.start(now_ms))
        self._tally.count_primaries()
        budget = self._tools.budgets.of(self._query.contract)
        budget.add_primaries(self._tally.primaries)
        return commands

    def receive(
        self,
        reply: SubReply,
        now_ms: float,
    ) -> tuple[QueryCommand, ...]:
        """Take in the end of one attempt, known or not."""
        return self._step(
            now_ms,
            lambda scatter: scatter.receive(reply, now_ms),
        )

    def wake(self, now_ms: float) -> tuple[QueryCommand, ...]:
        """Do what is due; at the deadline answer with what is there."""
        return self._step(now_ms, lambda scatter: scatter.wake(now_ms))

    def next_wakeup_ms(self) -> float | None:
        """Return when to call ``wake``, ``None`` once finished."""
        if self._scatter is None or self.finished:
            return None
        return min(self._query.deadline_ms, self._scatter.timers.next_ms())

    def _step(
        self,
        now_ms: float,
        act: Callable[[Scatter], _Commands],
    ) -> tuple[QueryCommand, ...]:
        scatter = self._scatter
        if scatter is None or self.finished:
            return ()
        commands: list[QueryCommand] = []
        expired = now_ms >= self._query.deadline_ms
        if not expired:
            commands.extend(act(scatter))
            if scatter.shards.pin_gone:
                scatter = self._restart(scatter, now_ms, commands)
        if expired or _is_over(self._query, scatter):
            self.finished = True
            commands.extend(scatter.cancel())
            gather = max(
                (scatter.gather, *self._given_up),
                key=Gather.fraction,
            )
            answer = make_answer(self._query, gather, self._tally)
            commands.append(Finish(answer))
        return tuple(commands)

    def _restart(
        self,
        gone: Scatter,
        now_ms: float,
        commands: list[QueryCommand],
    ) -> Scatter:
        """Start again under another pin, if there is one and time allows."""
        snapshot = self._pins.choose_again(now_ms)
        if snapshot is None:
            return gone
        commands.extend(gone.cancel())
        self._given_up.append(gone.gather)
        scatter = Scatter(self._query, snapshot, self._tools, self._tally)
        self._scatter = scatter
        sent = self._tally.sent
        commands.extend(scatter.start(now_ms))
        budget = self._tools.budgets.of(self._query.contract)
        budget.charge(self._tally.sent - sent)
        return scatter


def _is_over(query: Query, scatter: Scatter) -> bool:
    """Whether waiting on cannot bring an answer that is worth more."""
    least = query.contract.minimum_coverage
    shards = scatter.shards
    return not shards.open or shards.reachable_fraction < least
