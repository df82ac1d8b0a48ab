"""Makes the commands that send and cancel sub-requests of one scatter."""

from collections.abc import Iterable, Iterator
from typing import Final, final

from ..model.ids import CallId
from ..model.messages import Pin, SubRequest
from ..model.verdict import Reason, Run, Verdict
from ..routing.targets import Target
from .messages import CancelSubRequest, Query, QueryCommand, SendSubRequest
from .shard_progress import Attempt, ShardProgress
from .shared_state import SharedQueryState, Tally
from .timers import Timers

__all__ = ('Dispatcher',)

#: Attempts at one shard that may be in flight at the same time.
_MAX_IN_FLIGHT: Final = 3


@final
class Dispatcher:
    """Tracks the attempts in flight and schedules hedges for them.

    :param pin: carried by every sub-request.
    :ivar timers: when the next attempt at each shard is due.
    """

    def __init__(
        self,
        query: Query,
        pin: Pin,
        shared: SharedQueryState,
        tally: Tally,
    ) -> None:
        """Start with nothing sent."""
        self._query = query
        self._pin = pin
        self._shared = shared
        self._tally = tally
        self.timers = Timers()
        self._in_flight: dict[CallId, Attempt] = {}

    def send(
        self,
        progress: ShardProgress,
        target: Target,
        now_ms: float,
        *,
        probe: bool = False,
    ) -> SendSubRequest:
        """Return the command to send a sub-request and record the attempt.

        It is a hedge if another attempt at the shard is in flight.

        :param probe: whether the attempt only measures the answer time of a
            slow data centre.
        """
        hedge = bool(progress.in_flight)
        call = self._shared.new_call()
        attempt = Attempt(call, progress.shard, target, now_ms, probe)
        self._in_flight[attempt.call] = attempt
        progress.in_flight[attempt.call] = attempt
        progress.attempts += 1
        self._tally.sent += 1
        self._shared.owners.record_request(target.vm, now_ms)
        self.schedule_hedge(progress, now_ms)
        return SendSubRequest(
            target.vm,
            self._make_sub_request(attempt, hedge=hedge),
        )

    def remove(self, call: CallId) -> Attempt | None:
        """Remove the attempt with this call id.

        :returns: the attempt, ``None`` if the call is not in flight.
        """
        return self._in_flight.pop(call, None)

    def cancel(self, attempts: Iterable[Attempt]) -> Iterator[QueryCommand]:
        """Yield the commands to cancel attempts.

        Later replies to them are dropped as unknown.
        """
        for attempt in attempts:
            self._in_flight.pop(attempt.call)
            self._tally.add(Verdict(Run.MAY_HAVE_RUN, Reason.CANCELLED))
            yield CancelSubRequest(attempt.target.vm, attempt.call)

    def cancel_all(self) -> Iterator[QueryCommand]:
        """Yield the commands to cancel every attempt that is in flight."""
        return self.cancel(tuple(self._in_flight.values()))

    def schedule_hedge(self, progress: ShardProgress, now_ms: float) -> None:
        """Schedule the next hedge unless the maximum is in flight.

        The delay is the hedge delay times the attempts in flight.
        """
        in_flight = len(progress.in_flight)
        if in_flight < _MAX_IN_FLIGHT:
            delay_ms = self._shared.hedge_delays.delay_ms(
                self._query.workload,
                progress.shard,
            )
            self.timers.schedule(progress, now_ms + delay_ms * in_flight)

    def _make_sub_request(self, attempt: Attempt, *, hedge: bool) -> SubRequest:
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
