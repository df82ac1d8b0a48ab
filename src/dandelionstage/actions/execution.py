"""One action, tried at one replica after the other until it may have run."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

from ..model.contract import Priority
from ..model.ids import CallId
from ..model.messages import ActionOutcome, Pin, SubReply, SubRequest
from ..model.verdict import Reason, Run, Verdict, not_run
from ..routing.targets import Target
from .action_body import wrap
from .messages import ActionCommand, FinishAction, SendAction, Start
from .target_selection import ReplicaWalk, Targets

__all__ = ('ActionExecution', 'ActionPlan')

#: How long past the deadline an owner's own last word is waited for.
_GRACE_MS: Final = 50


@final
@dataclass(frozen=True, slots=True)
class ActionPlan:
    """Where and until when an action may be tried.

    :ivar pin: the workload's snapshot, whose shard map places the action.
    :ivar deadline_ms: on the monotonic clock of this process.
    """

    pin: Pin
    priority: Priority
    targets: Targets
    deadline_ms: float


@final
class ActionExecution:
    """Runs one action; never two attempts at a time, none after a doubt.

    The next attempt is made only after the one before it certainly did not
    run.  There is no hedge.
    """

    def __init__(
        self,
        started: Start,
        plan: ActionPlan,
        new_call: Callable[[], CallId],
    ) -> None:
        """Take an action that its ticket table allowed to start."""
        self._started = started
        self._plan = plan
        self._new_call = new_call
        self._walk = ReplicaWalk(plan.targets)
        self._out: CallId | None = None
        self._finished = False

    def start(self, now_ms: float) -> tuple[ActionCommand, ...]:
        """Make the first attempt."""
        return (self._next(not_run(Reason.NO_REPLICA), now_ms),)

    def receive(
        self,
        reply: SubReply,
        now_ms: float,
    ) -> tuple[ActionCommand, ...]:
        """Take the end of an attempt; any reply but the one due is dropped.

        A reply that comes after the action was given up still tells what
        became of it.
        """
        if reply.call != self._out:
            return ()
        self._out = None
        verdict = reply.verdict
        if verdict.run is not Run.NOT_RUN:
            return (self._finish(verdict, _outcome_of(reply)),)
        if not self._finished and self._walk.learn(reply):
            return (self._next(verdict, now_ms),)
        return (self._finish(verdict),)

    def wake(self, now_ms: float) -> tuple[ActionCommand, ...]:
        """Give up on an attempt that nobody answers."""
        if self._finished or now_ms < self.next_wakeup_ms():
            return ()
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.DEADLINE_EXPIRED)
        return (self._finish(verdict),)

    def next_wakeup_ms(self) -> float:
        """When to be woken at the latest."""
        return self._plan.deadline_ms + _GRACE_MS

    def _next(self, refusal: Verdict, now_ms: float) -> ActionCommand:
        # Woken late, the process must not act on facts as old as these.
        if now_ms >= self._started.expires_ms:
            return self._finish(not_run(Reason.TICKET_EXPIRED))
        remaining_ms = self._plan.deadline_ms - now_ms
        if remaining_ms <= 0:
            return self._finish(not_run(Reason.DEADLINE_EXPIRED))
        target = self._walk.next()
        if target is None:
            return self._finish(refusal)
        self._out = self._new_call()
        return SendAction(
            target.vm,
            _sub_request(
                self._out,
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


def _sub_request(
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
        query_json=wrap(started.action_id, started.call.action_json),
        action=True,
    )


def _outcome_of(reply: SubReply) -> str:
    if reply.part is None or not reply.part.records:
        return ''
    return reply.part.records[0].body_json
