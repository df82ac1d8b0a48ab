"""Mints tickets and runs the actions of this process's tickets."""

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

__all__ = ('MintingService', 'Planner', 'OutcomeCallback')

#: Returns the plan of an action by the current topology, or a refusal.
Planner = Callable[[Start], ActionPlan | Verdict]

#: Delivers the outcome of a call to its sender.
OutcomeCallback = Callable[[ActionOutcome], None]


@final
class MintingService:
    """Mints tickets and runs each one's action at most once."""

    def __init__(
        self,
        table: TicketTable,
        plan: Planner,
        runner: ExecutionRunner,
        group: TaskGroup,
        new_call: Callable[[], CallId],
    ) -> None:
        """Create a service without tickets.

        :param table: the tickets that this process minted.
        :param plan: plans actions that may start.
        :param runner: runs the executions of actions.
        :param group: task group that runs the actions, so that an action goes
            on after its caller has disconnected.
        :param new_call: returns a new call id for each attempt.
        """
        self._table = table
        self._plan = plan
        self._runner = runner
        self._group = group
        self._new_call = new_call
        self._callbacks: dict[CallId, OutcomeCallback] = {}

    def mint(self, customer: CustomerId) -> Result[TicketId, Verdict]:
        """Mint a ticket for a customer; no backend server is contacted."""
        return self._table.mint(customer, self._runner.clock())

    def open_tickets(self) -> int:
        """Return the number of open tickets.

        A ticket is open while its action may still be started, is running, or
        its outcome may still be asked for.
        """
        return self._table.open_count(self._runner.clock())

    def handle_call(
        self, call: ActionCall, on_outcome: OutcomeCallback
    ) -> None:
        """Start the action of a call unless it was started before.

        If the action is running, the call gets its outcome when it ends. A
        refusal, or the outcome of an ended action, is returned at once.

        :param on_outcome: called with the outcome of the call.
        """
        begin_result = self._table.begin(call, self._runner.clock())
        if isinstance(begin_result, Refuse):
            on_outcome(ActionOutcome(call.call, begin_result.verdict))
        elif isinstance(begin_result, AlreadyEnded):
            on_outcome(begin_result.outcome)
        else:
            self._callbacks[call.call] = on_outcome
            if isinstance(begin_result, Start):
                self._group.start_soon(self._run, begin_result)

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
            on_outcome = self._callbacks.pop(outcome.call, None)
            if on_outcome is not None:
                on_outcome(outcome)
