"""The calls that use one ticket, identified by their call ids."""

from dataclasses import replace
from typing import Final, final

from ..model.ids import CallId
from ..model.messages import ActionOutcome
from ..model.verdict import Verdict
from .messages import AlreadyEnded, BeginResult, Refuse, Wait

__all__ = ('TicketCalls',)

#: Calls of one ticket whose ids are kept; further ones are refused.
_MAX_CALLS: Final = 32


@final
class TicketCalls:
    """Records the waiting calls and the outcomes of the answered ones.

    A call that is delivered twice is recognized by its id, so the second
    copy starts nothing after the first one was answered with "not run".
    """

    def __init__(self) -> None:
        """Create a record without calls."""
        self._waiting: list[CallId] = []
        self._answered: dict[CallId, ActionOutcome] = {}

    @property
    def is_full(self) -> bool:
        """Whether no further call can be recorded; calls are never removed."""
        return len(self._waiting) + len(self._answered) >= _MAX_CALLS

    def find_repeated(self, call: CallId) -> BeginResult | None:
        """Return the result for a recorded call, ``None`` for a new one."""
        if call in self._waiting:
            return Wait()
        outcome = self._answered.get(call)
        return None if outcome is None else AlreadyEnded(outcome)

    def add_waiting(self, call: CallId) -> Wait:
        """Record a call that waits for the outcome of the action."""
        self._waiting.append(call)
        return Wait()

    def refuse(self, call: CallId, verdict: Verdict) -> Refuse:
        """Record the refusal of a call; its copies get the same verdict."""
        self._answered[call] = ActionOutcome(call, verdict)
        return Refuse(verdict)

    def answer_waiting(
        self, outcome: ActionOutcome
    ) -> tuple[ActionOutcome, ...]:
        """Record the outcome for all waiting calls and return it for each."""
        outcomes = tuple(replace(outcome, call=call) for call in self._waiting)
        self._answered.update((each.call, each) for each in outcomes)
        self._waiting.clear()
        return outcomes
