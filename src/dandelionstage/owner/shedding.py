"""Whether work that arrives is worth queueing."""

from dataclasses import dataclass
from typing import Final, final

from ..limits.queue import WorkQueue, count_ahead
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.verdict import Reason, Verdict, not_run

__all__ = ('Service', 'judge_arrival')

#: Work that may wait for each slot.
_WAITING_PER_SLOT: Final = 32
_SHORTEST_RETRY_MS: Final = 10
_LONGEST_RETRY_MS: Final = 5000


@final
@dataclass(frozen=True, slots=True)
class Service:
    """What the servers of a queue do for it.

    :ivar slots: slots that this VM may use at them together.
    :ivar expected_ms: time for one attempt.
    """

    slots: int
    expected_ms: float

    def wait_ms(self, ahead: int) -> float:
        """Estimate how long work waits behind other work."""
        return ahead * self.expected_ms / max(1, self.slots)


def judge_arrival(
    queue: WorkQueue, waiting: QueuedSubRequest, service: Service, now_ms: float
) -> Verdict | None:
    """Refuse early what would only wait to expire; ``None`` to keep it.

    :param queue: already holds the work that arrived.
    """
    retry_after_ms = _retry_after_ms(service.wait_ms(len(queue)))
    if len(queue) > _WAITING_PER_SLOT * max(1, service.slots):
        return not_run(Reason.QUEUE_FULL, retry_after_ms=retry_after_ms)
    ahead = count_ahead(queue, waiting.priority, waiting.deadline_ms)
    finish_ms = now_ms + service.wait_ms(ahead) + service.expected_ms
    if ahead and finish_ms > waiting.deadline_ms:
        return not_run(Reason.QUEUE_SHED, retry_after_ms=retry_after_ms)
    return None


def _retry_after_ms(wait_ms: float) -> int:
    return int(min(max(wait_ms, _SHORTEST_RETRY_MS), _LONGEST_RETRY_MS))
