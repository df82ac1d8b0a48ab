"""What the minting process remembers of one ticket."""

from dataclasses import replace
from enum import Enum, unique
from typing import Final, final

from ..model.ids import CallId
from ..model.messages import ActionCall, ActionOutcome
from ..model.verdict import Reason, Run, Verdict, not_run
from .action_body import digest_of
from .ticket_calls import CallLog
from .messages import Begin, AlreadyEnded, Refuse, Start
from .ticket import TicketClaims

__all__ = ('TicketEntry', 'TicketState')

_NOBODY: Final = CallId('')


@unique
class TicketState(Enum):
    """Whether a ticket's action may start, runs, or has ended."""

    # Never started, or certain not to have run.
    STARTABLE = 'startable'
    RUNNING = 'running'
    # Ran or may have run: it never starts again.
    ENDED = 'ended'


@final
class TicketEntry:
    """One ticket, the calls that came with it and how they ended.

    :ivar claims: of the ticket, verified.
    """

    def __init__(self, claims: TicketClaims) -> None:
        """Remember a ticket that nobody has used."""
        self.claims = claims
        self.state = TicketState.STARTABLE
        self._calls = CallLog()
        self._digest: bytes | None = None
        self._starter = _NOBODY
        self._last = ActionOutcome(_NOBODY, not_run(Reason.OK))

    def has_expired(self, now_ms: float) -> bool:
        """Say whether the ticket's time is over."""
        return now_ms >= self.claims.expires_ms

    def begin(self, call: ActionCall, now_ms: float) -> Begin:
        """Decide what becomes of a call."""
        repeated = self._calls.repeat(call.call)
        if repeated is not None:
            return repeated
        if self._digest not in {None, digest_of(call)}:
            return Refuse(not_run(Reason.TICKET_REUSED, 'another action'))
        if self.state is TicketState.ENDED:
            return AlreadyEnded(replace(self._last, call=call.call))
        return self._take(call, now_ms)

    def end(self, outcome: ActionOutcome) -> tuple[ActionOutcome, ...]:
        """Take the outcome of the call that started the action.

        A late outcome replaces one that was not certain.

        :returns: the outcome for each call that waits.
        """
        doubtful = self._last.verdict.run is Run.MAY_HAVE_RUN
        due = self.state is TicketState.RUNNING or doubtful
        if outcome.call != self._starter or not due:
            return ()
        self._last = outcome
        started = outcome.verdict.run is not Run.NOT_RUN
        self.state = TicketState.ENDED if started else TicketState.STARTABLE
        return self._calls.settle(outcome)

    def _take(self, call: ActionCall, now_ms: float) -> Begin:
        if self._calls.is_full:
            return Refuse(_doubt(self.state, Reason.ADMISSION_FULL))
        if self.state is TicketState.RUNNING:
            return self._calls.wait(call.call)
        if self.has_expired(now_ms):
            verdict = not_run(Reason.TICKET_EXPIRED)
            return self._calls.refuse(call.call, verdict)
        if call.remaining_ms <= 0:
            verdict = not_run(Reason.DEADLINE_EXPIRED)
            return self._calls.refuse(call.call, verdict)
        return self._start(call)

    def _start(self, call: ActionCall) -> Start:
        self.state = TicketState.RUNNING
        self._digest = digest_of(call)
        self._starter = call.call
        self._calls.wait(call.call)
        return Start(self.claims.action_id, call, self.claims.expires_ms)


def _doubt(state: TicketState, reason: Reason) -> Verdict:
    if state is TicketState.STARTABLE:
        return not_run(reason)
    return Verdict(Run.MAY_HAVE_RUN, reason)
