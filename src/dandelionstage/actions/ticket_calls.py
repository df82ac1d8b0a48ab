"""The calls that came with one ticket, told apart by their ids."""

from dataclasses import replace
from typing import Final, final

from ..model.ids import CallId
from ..model.messages import ActionOutcome
from ..model.verdict import Verdict
from .messages import Begin, AlreadyEnded, Refuse, Wait

__all__ = ('CallLog',)

#: Calls with one ticket that are told apart; more are refused.
_MAX_CALLS: Final = 32


@final
class CallLog:
    """Remembers which calls wait and what the others were told.

    A call delivered twice is known by its id, so that the second copy starts
    nothing after the first one was told "not run".
    """

    def __init__(self) -> None:
        """Start without calls."""
        self._waiting: list[CallId] = []
        self._told: dict[CallId, ActionOutcome] = {}

    @property
    def is_full(self) -> bool:
        """Whether another call could not be told apart; it stays so."""
        return len(self._waiting) + len(self._told) >= _MAX_CALLS

    def repeat(self, call: CallId) -> Begin | None:
        """Answer a call that came before, ``None`` for a new one."""
        if call in self._waiting:
            return Wait()
        told = self._told.get(call)
        return None if told is None else AlreadyEnded(told)

    def wait(self, call: CallId) -> Wait:
        """Keep a call until the outcome is known."""
        self._waiting.append(call)
        return Wait()

    def refuse(self, call: CallId, verdict: Verdict) -> Refuse:
        """Refuse a call and all its copies."""
        self._told[call] = ActionOutcome(call, verdict)
        return Refuse(verdict)

    def settle(self, outcome: ActionOutcome) -> tuple[ActionOutcome, ...]:
        """Tell every call that waits the same outcome."""
        outcomes = tuple(replace(outcome, call=call) for call in self._waiting)
        self._told.update((told.call, told) for told in outcomes)
        self._waiting.clear()
        return outcomes
