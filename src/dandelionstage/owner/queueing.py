"""Queueing, expiry and refusal of the work of an owner."""

from collections.abc import Iterable
from typing import final

from returns.pipeline import is_successful

from ..limits.queue import find_least_urgent, list_expired
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.ids import CallId
from ..model.verdict import Reason, Verdict, not_run
from .load_shedding import ServiceEstimate, check_arrival
from .messages import OwnerCommand
from .owner_state import OwnerState
from .replica_queues import ReplicaQueue
from .sub_replies import make_refusal

__all__ = ('QueueManager',)


@final
class QueueManager:
    """Adds sub-requests to the queues and replies to those it refuses."""

    def __init__(self, state: OwnerState) -> None:
        """Create the queue manager of one owner."""
        self._state = state

    def enqueue(
        self, queued: QueuedSubRequest, now_ms: float
    ) -> list[OwnerCommand]:
        """Queue a sub-request for its usable and untried replicas.

        :returns: the reply if the sub-request, or another one that makes
            room for it, is refused; otherwise empty.
        """
        sub_request = queued.sub_request
        untried = [
            replica
            for replica in sub_request.replicas
            if replica not in queued.tried
        ]
        usable = self._state.backends.select_usable(untried, now_ms)
        if not is_successful(usable):
            verdict = usable.failure()
            return [make_refusal(self._state.vm, queued, verdict, now_ms)]
        queue = self._state.queues.push(queued, usable.unwrap())
        return self._shed_load(queue, queued, now_ms)

    def refuse_queued(
        self, call: CallId, verdict: Verdict, now_ms: float
    ) -> list[OwnerCommand]:
        """Remove a call from its queue and refuse it, if it is queued."""
        queued = self._state.queues.remove(call)
        if queued is None:
            return []
        return [make_refusal(self._state.vm, queued, verdict, now_ms)]

    def expire(self, now_ms: float) -> list[OwnerCommand]:
        """Refuse all queued work whose deadline has passed."""
        commands: list[OwnerCommand] = []
        verdict = not_run(Reason.DEADLINE_EXPIRED)
        for queue in self._state.queues:
            for queued in list_expired(queue.work, now_ms):
                commands.extend(
                    self.refuse_queued(queued.call, verdict, now_ms)
                )
        return commands

    def requeue(
        self, queues: Iterable[ReplicaQueue], now_ms: float
    ) -> list[OwnerCommand]:
        """Queue work again after a change of the servers it waits for."""
        commands: list[OwnerCommand] = []
        for queue in queues:
            for queued in tuple(queue.work):
                self._state.queues.remove(queued.call)
                commands.extend(self.enqueue(queued, now_ms))
        return commands

    def _shed_load(
        self, queue: ReplicaQueue, queued: QueuedSubRequest, now_ms: float
    ) -> list[OwnerCommand]:
        if len(queue.work) == 1:
            return []
        estimate = self._estimate(queue, now_ms)
        verdict = check_arrival(queue.work, queued, estimate, now_ms)
        if verdict is None:
            return []
        refused = queued
        if verdict.reason is Reason.QUEUE_FULL:
            # Work of a lower priority is refused before the new work.
            refused = find_least_urgent(queue.work, queued.priority) or queued
        return self.refuse_queued(refused.call, verdict, now_ms)

    def _estimate(self, queue: ReplicaQueue, now_ms: float) -> ServiceEstimate:
        backends = self._state.backends
        slots = {
            replica: backends.max_in_flight(replica, now_ms)
            for replica in queue.replicas
        }
        expected_ms = min(
            self._state.server(replica).service_time.expected_ms(now_ms)
            for replica in queue.replicas
        )
        return ServiceEstimate(sum(slots.values()), expected_ms)
