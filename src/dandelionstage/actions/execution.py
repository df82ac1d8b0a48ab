"""Execution of one action at one replica after another."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

from ..model.contract import Priority
from ..model.ids import CallId
from ..model.messages import ActionOutcome, Pin, SubReply, SubRequest
from ..model.verdict import Reason, Run, Verdict, not_run
from ..routing.targets import Target
from .action_body import encode_action
from .messages import ActionCommand, FinishAction, SendAction, Start
from .target_selection import ListTargets, TargetSelector

__all__ = ('ActionExecution', 'ActionPlan')

#: Time after the deadline in which a reply of the owner is still awaited.
_REPLY_GRACE_MS: Final = 50


@final
@dataclass(frozen=True, slots=True)
class ActionPlan:
    """Targets, priority and deadline of an action.

    :ivar pin: the workload's snapshot, whose shard map assigns the action
        to a shard.
    :ivar priority: the customer's priority.
    :ivar targets: the function that lists the owners of the shard, best
        first.
    :ivar deadline_ms: on the monotonic clock of this process.
    """

    pin: Pin
    priority: Priority
    targets: ListTargets
    deadline_ms: float


@final
class ActionExecution:
    """Runs one action, with at most one attempt in flight and no hedges.

    Another attempt is made only after the previous one certainly did not
    run.
    """

    def __init__(
        self,
        started: Start,
        plan: ActionPlan,
        new_call: Callable[[], CallId],
    ) -> None:
        """Create the execution of an action that may start.

        :param started: the result of the ticket table.
        :param plan: the targets, priority and deadline.
        :param new_call: returns a new call id for each attempt.
        """
        self._started = started
        self._plan = plan
        self._new_call = new_call
        self._selector = TargetSelector(plan.targets)
        self._pending_call: CallId | None = None
        self._finished = False

    def start(self, now_ms: float) -> tuple[ActionCommand, ...]:
        """Return the command for the first attempt."""
        return (self._next_attempt(not_run(Reason.NO_REPLICA), now_ms),)

    def receive(
        self,
        reply: SubReply,
        now_ms: float,
    ) -> tuple[ActionCommand, ...]:
        """Process the reply to an attempt and ignore any other reply.

        A reply that arrives after the action has finished still yields a
        command with the corrected outcome.
        """
        if reply.call != self._pending_call:
            return ()
        self._pending_call = None
        verdict = reply.verdict
        if verdict.run is not Run.NOT_RUN:
            return (self._finish(verdict, _outcome_json(reply)),)
        if not self._finished and self._selector.exclude(reply):
            return (self._next_attempt(verdict, now_ms),)
        return (self._finish(verdict),)

    def wake(self, now_ms: float) -> tuple[ActionCommand, ...]:
        """Finish the action as uncertain if no reply came in time."""
        if self._finished or now_ms < self.next_wakeup_ms():
            return ()
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.DEADLINE_EXPIRED)
        return (self._finish(verdict),)

    def next_wakeup_ms(self) -> float:
        """Return when ``wake`` has to be called."""
        return self._plan.deadline_ms + _REPLY_GRACE_MS

    def _next_attempt(self, refusal: Verdict, now_ms: float) -> ActionCommand:
        # The process may have been paused, so the ticket and the deadline are
        # checked again before each attempt.
        if now_ms >= self._started.expires_ms:
            return self._finish(not_run(Reason.TICKET_EXPIRED))
        remaining_ms = self._plan.deadline_ms - now_ms
        if remaining_ms <= 0:
            return self._finish(not_run(Reason.DEADLINE_EXPIRED))
        target = self._selector.select_next()
        if target is None:
            return self._finish(refusal)
        self._pending_call = self._new_call()
        return SendAction(
            target.vm,
            _make_sub_request(
                self._pending_call,
                self._started,
                self._plan,
                target,
                remaining_ms,
            ),
        )

    def _finish(self, verdict: Verdict, outcome_json: str = '') -> FinishAction:
        self._finished = True
        return FinishAction(
            self._started.action_id,
            ActionOutcome(self._started.call.call, verdict, outcome_json),
        )


def _make_sub_request(
    call: CallId,
    started: Start,
    plan: ActionPlan,
    target: Target,
    remaining_ms: float,
) -> SubRequest:
    return SubRequest(
        call=call,
        request=started.call.request,
        customer=started.call.customer,
        owner_key=target.owner_key,
        pin=plan.pin,
        replicas=target.replicas,
        priority=plan.priority,
        remaining_ms=remaining_ms,
        query_json=encode_action(started.action_id, started.call.action_json),
        action=True,
    )


def _outcome_json(reply: SubReply) -> str:
    if reply.part is None or not reply.part.records:
        return ''
    return reply.part.records[0].body_json
