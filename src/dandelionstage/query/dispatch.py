"""Sends and cancels the sub-requests of one scatter."""

from collections.abc import Iterable, Iterator
from typing import Final, final

from ..model.ids import CallId
from ..model.messages import Pin, SubRequest
from ..model.verdict import Reason, Run, Verdict
from ..routing.targets import Target
from .messages import CancelSubRequest, Query, QueryCommand, SendSubRequest
from .shard import Attempt, ShardProgress
from .timers import Timers
from .tools import QueryTools, Tally

__all__ = ('Dispatch',)

#: Attempts at one shard that may be out together.
_MAX_OUT: Final = 3


@final
class Dispatch:
    """The calls that are out and when the next ones are due.

    :param pin: carried by every sub-request.
    """

    def __init__(
        self,
        query: Query,
        pin: Pin,
        tools: QueryTools,
        tally: Tally,
    ) -> None:
        """Start with nothing sent."""
        self._query = query
        self._pin = pin
        self._tools = tools
        self._tally = tally
        self.timers = Timers()
        self._out: dict[CallId, Attempt] = {}

    def send(
        self,
        progress: ShardProgress,
        target: Target,
        now_ms: float,
        *,
        probe: bool = False,
    ) -> SendSubRequest:
        """Send one sub-request; it is a hedge while another is out."""
        hedge = bool(progress.out)
        call = self._tools.new_call()
        attempt = Attempt(call, progress.shard, target, now_ms, probe)
        self._out[attempt.call] = attempt
        progress.out[attempt.call] = attempt
        progress.attempts += 1
        self._tally.sent += 1
        self._tools.owners.record_request(target.vm, now_ms)
        self.plan_hedge(progress, now_ms)
        return SendSubRequest(target.vm, self._write(attempt, hedge=hedge))

    def end(self, call: CallId) -> Attempt | None:
        """Take a call off the table, ``None`` if it is not out."""
        return self._out.pop(call, None)

    def cancel(self, attempts: Iterable[Attempt]) -> Iterator[QueryCommand]:
        """Give up attempts; a reply to them is unknown from now on."""
        for attempt in attempts:
            self._out.pop(attempt.call)
            self._tally.add(Verdict(Run.MAY_HAVE_RUN, Reason.CANCELLED))
            yield CancelSubRequest(attempt.target.vm, attempt.call)

    def cancel_all(self) -> Iterator[QueryCommand]:
        """Give up every attempt that is out."""
        return self.cancel(tuple(self._out.values()))

    def plan_hedge(self, progress: ShardProgress, now_ms: float) -> None:
        """Set the time to hedge what is out, later with each attempt."""
        out = len(progress.out)
        if out < _MAX_OUT:
            delay_ms = self._tools.delays.delay_ms(
                self._query.workload,
                progress.shard,
            )
            self.timers.plan(progress, now_ms + delay_ms * out)

    def _write(self, attempt: Attempt, *, hedge: bool) -> SubRequest:
        query = self._query
        return SubRequest(
            call=attempt.call,
            request=query.request,
            customer=query.contract.customer,
            owner_key=attempt.target.owner_key,
            pin=self._pin,
            replicas=attempt.target.replicas,
            priority=query.contract.priority,
            remaining_ms=query.deadline_ms - attempt.sent_ms,
            query_json=query.query_json,
            hedge=hedge,
        )
