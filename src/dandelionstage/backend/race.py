"""Waits for the first answer to a search sent on two connections."""

from typing import final

import anyio
from returns.result import Result, Success

from ..model.verdict import Reason, Run
from ..owner.messages import AttemptOutcome
from .exchange import Exchange, NoReply

__all__ = ('AttemptResult', 'Race')

AttemptResult = Result[AttemptOutcome, NoReply]


@final
class Race:
    """Waits for the first answer to either of two copies of a search.

    A reply to the first copy is an answer.  A refusal of it says that the first
    copy did not run, and nothing of the second, which may be running.  The
    second copy only tests whether the server replies on another connection, so
    a refusal of it does not decide the result of the first.
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
        return _combine(await self._first.wait(), await self._second.wait())

    async def _watch_first(self, scope: anyio.CancelScope) -> None:
        result = await self._first.wait()
        if isinstance(result, Success) and not _is_not_run(result):
            self._answer = result
            scope.cancel()

    async def _watch_second(self, scope: anyio.CancelScope) -> None:
        result = await self._second.wait()
        if result.map(_is_success).value_or(default_value=False):
            self._answer = result
            scope.cancel()


def _combine(first: AttemptResult, second: AttemptResult) -> AttemptResult:
    """Return the result of two copies of which neither has an answer."""
    if _is_not_run(first):
        return first if _is_not_run(second) else second
    if _is_not_run(second):
        return first
    if second.swap().map(_is_timeout).value_or(default_value=False):
        # No reply on the second connection either: the server timed out.
        return second
    return first


def _is_not_run(result: AttemptResult) -> bool:
    """Whether a copy certainly did not run."""
    if isinstance(result, Success):
        return result.unwrap().verdict.run is Run.NOT_RUN
    return result.failure().sent_at_ms is None


def _is_success(outcome: AttemptOutcome) -> bool:
    return outcome.verdict.reason is Reason.OK


def _is_timeout(no_reply: NoReply) -> bool:
    return no_reply.reason is Reason.DEADLINE_EXPIRED
