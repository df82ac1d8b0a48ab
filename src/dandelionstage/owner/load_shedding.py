"""Early refusal of sub-requests that could not finish in time."""

from dataclasses import dataclass
from typing import Final, final

from ..limits.queue import WorkQueue, count_ahead
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.verdict import Reason, Verdict, not_run

__all__ = ('ServiceEstimate', 'check_arrival')

#: Sub-requests that may wait in a queue for each slot.
_MAX_WAITING_PER_SLOT: Final = 32
_MIN_RETRY_AFTER_MS: Final = 10
_MAX_RETRY_AFTER_MS: Final = 5000


@final
@dataclass(frozen=True, slots=True)
class ServiceEstimate:
    """Estimated capacity of the servers of one queue.

    :ivar slots: slots at all these servers that this VM may use.
    :ivar expected_ms: expected time for one attempt.
    """

    slots: int
    expected_ms: float

    def wait_ms(self, ahead: int) -> float:
        """Estimate the waiting time behind a number of sub-requests."""
        return ahead * self.expected_ms / max(1, self.slots)


def check_arrival(
    queue: WorkQueue,
    queued: QueuedSubRequest,
    estimate: ServiceEstimate,
    now_ms: float,
) -> Verdict | None:
    """Return the refusal of a new sub-request, ``None`` to keep it queued.

    A sub-request is refused if the queue is full or if it would probably
    miss its deadline behind the work ahead of it.

    :param queue: the queue with the new sub-request already in it.
    """
    retry_after_ms = _retry_after_ms(estimate.wait_ms(len(queue)))
    if len(queue) > _MAX_WAITING_PER_SLOT * max(1, estimate.slots):
        return not_run(Reason.QUEUE_FULL, retry_after_ms=retry_after_ms)
    ahead = count_ahead(queue, queued.priority, queued.deadline_ms)
    finish_ms = now_ms + estimate.wait_ms(ahead) + estimate.expected_ms
    if ahead and finish_ms > queued.deadline_ms:
        return not_run(Reason.QUEUE_SHED, retry_after_ms=retry_after_ms)
    return None


def _retry_after_ms(wait_ms: float) -> int:
    return int(min(max(wait_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS))
