"""What may wait at an owner."""

from collections.abc import Iterable
from typing import final

from returns.pipeline import is_successful

from ..limits.queue import find_least_urgent, list_expired
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.ids import CallId
from ..model.verdict import Reason, Verdict, not_run
from .lanes import Lane
from .messages import OwnerCommand
from .replies import refuse
from .shedding import Service, judge_arrival
from .state import OwnerState

__all__ = ('Intake',)


@final
class Intake:
    """Queues work or refuses it; everything refused gets its reply."""

    def __init__(self, state: OwnerState) -> None:
        """Fill the lanes of one owner."""
        self._state = state

    def admit(
        self, waiting: QueuedSubRequest, now_ms: float
    ) -> list[OwnerCommand]:
        """Queue work for the replicas that may still take it."""
        sub_request = waiting.sub_request
        untried = [
            replica
            for replica in sub_request.replicas
            if replica not in waiting.tried
        ]
        resolved = self._state.backends.resolve(untried, now_ms)
        if not is_successful(resolved):
            verdict = resolved.failure()
            return [refuse(self._state.vm, waiting, verdict, now_ms)]
        lane = self._state.lanes.push(waiting, resolved.unwrap())
        return self._shed(lane, waiting, now_ms)

    def withdraw(
        self, call: CallId, verdict: Verdict, now_ms: float
    ) -> list[OwnerCommand]:
        """Take a call out of its queue, if it waits, and refuse it."""
        waiting = self._state.lanes.remove(call)
        if waiting is None:
            return []
        return [refuse(self._state.vm, waiting, verdict, now_ms)]

    def expire(self, now_ms: float) -> list[OwnerCommand]:
        """Refuse all work whose deadline has passed."""
        commands: list[OwnerCommand] = []
        verdict = not_run(Reason.DEADLINE_EXPIRED)
        for lane in self._state.lanes:
            for waiting in list_expired(lane.queue, now_ms):
                commands.extend(self.withdraw(waiting.call, verdict, now_ms))
        return commands

    def reroute(
        self, lanes: Iterable[Lane], now_ms: float
    ) -> list[OwnerCommand]:
        """Place work anew after its servers have changed."""
        commands: list[OwnerCommand] = []
        for lane in lanes:
            for waiting in tuple(lane.queue):
                self._state.lanes.remove(waiting.call)
                commands.extend(self.admit(waiting, now_ms))
        return commands

    def _shed(
        self, lane: Lane, waiting: QueuedSubRequest, now_ms: float
    ) -> list[OwnerCommand]:
        if len(lane.queue) == 1:
            return []
        service = self._estimate(lane, now_ms)
        verdict = judge_arrival(lane.queue, waiting, service, now_ms)
        if verdict is None:
            return []
        victim = waiting
        if verdict.reason is Reason.QUEUE_FULL:
            # The newcomer may be worth more than what waits already.
            victim = find_least_urgent(lane.queue, waiting.priority) or waiting
        return self.withdraw(victim.call, verdict, now_ms)

    def _estimate(self, lane: Lane, now_ms: float) -> Service:
        backends = self._state.backends
        slots = {
            replica: backends.allowed(replica, now_ms)
            for replica in lane.replicas
        }
        expected_ms = min(
            self._state.server(replica).service_time.expected_ms(now_ms)
            for replica in lane.replicas
        )
        return Service(sum(slots.values()), expected_ms)
