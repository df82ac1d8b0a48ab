"""State of one ticket in the process that minted it."""

from dataclasses import replace
from enum import Enum, unique
from typing import Final, final

from ..model.ids import CallId
from ..model.messages import ActionCall, ActionOutcome
from ..model.verdict import Reason, Run, Verdict, not_run
from .action_body import hash_action
from .messages import AlreadyEnded, BeginResult, Refuse, Start
from .ticket import TicketClaims
from .ticket_calls import TicketCalls

__all__ = ('TicketRecord', 'TicketState')

_NO_CALL: Final = CallId('')


@unique
class TicketState(Enum):
    """Whether a ticket's action may start, is running, or has ended."""

    # The action has not started, or certainly did not run.
    STARTABLE = 'startable'
    RUNNING = 'running'
    # The action ran or may have run: it never starts again.
    ENDED = 'ended'


@final
class TicketRecord:
    """State of a ticket, its calls and the outcome of its action.

    :ivar claims: the verified claims of the ticket.
    :ivar state: whether the action may start.
    """

    def __init__(self, claims: TicketClaims) -> None:
        """Create the record of a ticket that no call has used."""
        self.claims = claims
        self.state = TicketState.STARTABLE
        self._calls = TicketCalls()
        self._action_hash: bytes | None = None
        self._starter = _NO_CALL
        # Placeholder until the first outcome is recorded.
        self._last_outcome = ActionOutcome(_NO_CALL, not_run(Reason.OK))

    def has_expired(self, now_ms: float) -> bool:
        """Return whether the ticket has expired."""
        return now_ms >= self.claims.expires_ms

    def begin(self, call: ActionCall, now_ms: float) -> BeginResult:
        """Record a call; let it start the action or wait, or answer it."""
        repeated = self._calls.find_repeated(call.call)
        if repeated is not None:
            return repeated
        if self._action_hash not in {None, hash_action(call)}:
            return Refuse(
                not_run(
                    Reason.TICKET_REUSED,
                    'another action',
                )
            )
        if self.state is TicketState.ENDED:
            return AlreadyEnded(replace(self._last_outcome, call=call.call))
        return self._begin_new(call, now_ms)

    def end(self, outcome: ActionOutcome) -> tuple[ActionOutcome, ...]:
        """Record the outcome of the call that started the action.

        A late outcome replaces a recorded one that is uncertain.

        :returns: the outcome for each waiting call; empty if the outcome
            was ignored.
        """
        is_uncertain = self._last_outcome.verdict.run is Run.MAY_HAVE_RUN
        is_awaited = self.state is TicketState.RUNNING or is_uncertain
        if outcome.call != self._starter or not is_awaited:
            return ()
        self._last_outcome = outcome
        may_have_run = outcome.verdict.run is not Run.NOT_RUN
        self.state = (
            TicketState.ENDED if may_have_run else TicketState.STARTABLE
        )
        return self._calls.answer_waiting(outcome)

    def _begin_new(self, call: ActionCall, now_ms: float) -> BeginResult:
        if self._calls.is_full:
            return Refuse(_make_refusal(self.state, Reason.ADMISSION_FULL))
        if self.state is TicketState.RUNNING:
            return self._calls.add_waiting(call.call)
        if self.has_expired(now_ms):
            verdict = not_run(Reason.TICKET_EXPIRED)
            return self._calls.refuse(call.call, verdict)
        if call.remaining_ms <= 0:
            verdict = not_run(Reason.DEADLINE_EXPIRED)
            return self._calls.refuse(call.call, verdict)
        return self._start(call)

    def _start(self, call: ActionCall) -> Start:
        self.state = TicketState.RUNNING
        self._action_hash = hash_action(call)
        self._starter = call.call
        self._calls.add_waiting(call.call)
        return Start(self.claims.action_id, call, self.claims.expires_ms)


def _make_refusal(state: TicketState, reason: Reason) -> Verdict:
    """Return a refusal that says "not run" only if that is certain."""
    if state is TicketState.STARTABLE:
        return not_run(reason)
    return Verdict(Run.MAY_HAVE_RUN, reason)
