"""The tickets of this process: minted, started once, remembered."""

from collections.abc import Callable
from typing import final

from anyio.abc import TaskGroup
from returns.result import Result

from ..actions.execution import ActionExecution, ActionPlan
from ..actions.messages import FinishAction, AlreadyEnded, Refuse, Start
from ..actions.ticket_table import TicketTable
from ..model.ids import CallId, CustomerId, TicketId
from ..model.messages import ActionCall, ActionOutcome
from ..model.verdict import Verdict
from .runner import ExecutionRunner

__all__ = ('MintingService', 'Planner', 'TakeOutcome')

#: Places an action on the fleet as it stands now.
Planner = Callable[[Start], ActionPlan | Verdict]

#: Takes the outcome of one call back to where the call came from.
TakeOutcome = Callable[[ActionOutcome], None]


@final
class MintingService:
    """Answers for every ticket that this process minted."""

    def __init__(
        self,
        table: TicketTable,
        plan: Planner,
        runner: ExecutionRunner,
        group: TaskGroup,
        new_call: Callable[[], CallId],
    ) -> None:
        """Start without tickets.

        :param group: runs the actions, whoever waits for them.
        """
        self._table = table
        self._plan = plan
        self._runner = runner
        self._group = group
        self._new_call = new_call
        self._waiting: dict[CallId, TakeOutcome] = {}

    def mint(self, customer: CustomerId) -> Result[TicketId, Verdict]:
        """Mint a ticket; it has no effect of its own."""
        return self._table.mint(customer, self._runner.clock())

    def open_tickets(self) -> int:
        """Count the tickets that may still be used or asked about."""
        return self._table.open_count(self._runner.clock())

    def handle_call(self, call: ActionCall, take_outcome: TakeOutcome) -> None:
        """Start an action, or answer or wait for one that has started."""
        begin = self._table.begin(call, self._runner.clock())
        if isinstance(begin, Refuse):
            take_outcome(ActionOutcome(call.call, begin.verdict))
        elif isinstance(begin, AlreadyEnded):
            take_outcome(begin.outcome)
        else:
            self._waiting[call.call] = take_outcome
            if isinstance(begin, Start):
                self._group.start_soon(self._run, begin)

    async def _run(self, start: Start) -> None:
        plan = self._plan(start)
        if isinstance(plan, Verdict):
            outcome = ActionOutcome(start.call.call, plan)
            self._record(FinishAction(start.action_id, outcome))
            return
        execution = ActionExecution(start, plan, self._new_call)
        self._record(await self._runner.run(execution, self._record))

    def _record(self, finish: FinishAction) -> None:
        outcomes = self._table.record(finish.action_id, finish.outcome)
        for outcome in outcomes:
            take_outcome = self._waiting.pop(outcome.call, None)
            if take_outcome is not None:
                take_outcome(outcome)
