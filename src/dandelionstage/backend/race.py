"""Two copies of one search under way, on two connections."""

from typing import final

import anyio
from returns.result import Result, Success

from ..model.verdict import Reason
from ..owner.messages import AttemptOutcome
from .exchange import Exchange, NoReply

__all__ = ('End', 'Race')

End = Result[AttemptOutcome, NoReply]


@final
class Race:
    """Waits for whichever copy is answered first.

    The second copy only asks whether the server answers on a new connection,
    so a refusal of it says nothing of the first.
    """

    def __init__(
        self,
        first: Exchange[AttemptOutcome],
        second: Exchange[AttemptOutcome],
    ) -> None:
        """Take two exchanges that were both handed over."""
        self._first = first
        self._second = second
        self._won: End | None = None

    async def run(self) -> End:
        """Wait for an answer, or until there can be none."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_first, tasks.cancel_scope)
            tasks.start_soon(self._watch_second, tasks.cancel_scope)
        if self._won is not None:
            return self._won
        second = await self._second.wait()
        if second.swap().map(_is_silence).value_or(default_value=False):
            # Nothing on a new connection either: that is the server's fault.
            return second
        return await self._first.wait()

    async def _watch_first(self, scope: anyio.CancelScope) -> None:
        end = await self._first.wait()
        if isinstance(end, Success):
            self._won = end
            scope.cancel()

    async def _watch_second(self, scope: anyio.CancelScope) -> None:
        end = await self._second.wait()
        if end.map(_is_answer).value_or(default_value=False):
            self._won = end
            scope.cancel()


def _is_answer(outcome: AttemptOutcome) -> bool:
    return outcome.verdict.reason is Reason.OK


def _is_silence(lost: NoReply) -> bool:
    return lost.reason is Reason.DEADLINE_EXPIRED
