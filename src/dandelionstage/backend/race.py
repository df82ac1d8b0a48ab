"""Waits for the first answer to a search sent on two connections."""

from typing import final

import anyio
from returns.result import Result, Success

from ..model.verdict import Reason
from ..owner.messages import AttemptOutcome
from .exchange import Exchange, NoReply

__all__ = ('AttemptResult', 'Race')

AttemptResult = Result[AttemptOutcome, NoReply]


@final
class Race:
    """Waits for the first answer to either of two copies of a search.

    Any valid reply to the first copy is an answer, also a refusal. The second
    copy only tests whether the server replies on another connection, so a
    refusal of it does not decide the result of the first.
    """

    def __init__(
        self,
        first: Exchange[AttemptOutcome],
        second: Exchange[AttemptOutcome],
    ) -> None:
        """Create a race of two exchanges that were both submitted."""
        self._first = first
        self._second = second
        self._answer: AttemptResult | None = None

    async def run(self) -> AttemptResult:
        """Wait for an answer or for the failure of both copies."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_first, tasks.cancel_scope)
            tasks.start_soon(self._watch_second, tasks.cancel_scope)
        if self._answer is not None:
            return self._answer
        second = await self._second.wait()
        if second.swap().map(_is_timeout).value_or(default_value=False):
            # No reply on the second connection either: the server timed out.
            return second
        return await self._first.wait()

    async def _watch_first(self, scope: anyio.CancelScope) -> None:
        result = await self._first.wait()
        if isinstance(result, Success):
            self._answer = result
            scope.cancel()

    async def _watch_second(self, scope: anyio.CancelScope) -> None:
        result = await self._second.wait()
        if result.map(_is_success).value_or(default_value=False):
            self._answer = result
            scope.cancel()


def _is_success(outcome: AttemptOutcome) -> bool:
    return outcome.verdict.reason is Reason.OK


def _is_timeout(no_reply: NoReply) -> bool:
    return no_reply.reason is Reason.DEADLINE_EXPIRED
