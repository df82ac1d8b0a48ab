"""A queue of sub-requests, ordered by priority and then by deadline."""

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence
from itertools import count
from typing import Final, final

from ..model.contract import Priority
from ..model.ids import CallId
from .queued_sub_request import QueuedSubRequest

__all__ = (
    'QueueEntry',
    'WorkQueue',
    'count_ahead',
    'find_least_urgent',
    'first_by_priority',
    'list_expired',
    'next_deadline_ms',
)

#: Priorities, the most urgent first.
_PRIORITIES: Final = tuple(Priority)

#: Deadline, arrival number and sub-request; sorts in this order.
QueueEntry = tuple[float, int, QueuedSubRequest]


@final
class WorkQueue:
    """Queue of sub-requests that the same backend servers can take."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._entries: dict[Priority, list[QueueEntry]] = {
            priority: [] for priority in _PRIORITIES
        }
        self._entry_by_call: dict[CallId, QueueEntry] = {}
        self._arrival_numbers = count()

    def __len__(self) -> int:
        """Return the number of queued sub-requests."""
        return len(self._entry_by_call)

    def push(self, queued: QueuedSubRequest) -> None:
        """Add a sub-request."""
        entry = (queued.deadline_ms, next(self._arrival_numbers), queued)
        insort(self._entries[queued.priority], entry)
        self._entry_by_call[queued.call] = entry

    def remove(self, call: CallId) -> QueuedSubRequest | None:
        """Remove and return a sub-request, ``None`` if it is not queued."""
        entry = self._entry_by_call.pop(call, None)
        if entry is None:
            return None
        entries = self._entries[entry[-1].priority]
        entries.pop(bisect_left(entries, entry))
        return entry[-1]

    def __iter__(self) -> Iterator[QueuedSubRequest]:
        """Iterate over the sub-requests in order of arrival."""
        return (entry[-1] for entry in self._entry_by_call.values())

    def entries(self, priority: Priority) -> Sequence[QueueEntry]:
        """Return the entries of one priority, earliest deadline first."""
        return self._entries[priority]


def first_by_priority(queue: WorkQueue) -> dict[Priority, QueuedSubRequest]:
    """Return the sub-request with the earliest deadline by priority."""
    by_priority = {each: queue.entries(each) for each in _PRIORITIES}
    return {
        priority: entries[0][-1]
        for priority, entries in by_priority.items()
        if entries
    }


def count_ahead(
    queue: WorkQueue, priority: Priority, deadline_ms: float
) -> int:
    """Count the sub-requests that start before one that arrives now."""
    higher = _PRIORITIES[: _PRIORITIES.index(priority)]
    ahead = sum(len(queue.entries(each)) for each in higher)
    entries = queue.entries(priority)
    return ahead + bisect_left(entries, deadline_ms, key=_deadline_of)


def find_least_urgent(
    queue: WorkQueue, than: Priority
) -> QueuedSubRequest | None:
    """Return the sub-request to shed for one of a higher priority.

    :param than: priority of the arriving sub-request.
    :returns: ``None`` if no lower priority is queued.
    """
    lower = _PRIORITIES[_PRIORITIES.index(than) + 1 :]
    for priority in reversed(lower):
        entries = queue.entries(priority)
        if entries:
            return entries[-1][-1]
    return None


def list_expired(
    queue: WorkQueue, now_ms: float
) -> tuple[QueuedSubRequest, ...]:
    """List the sub-requests whose deadline has passed."""
    return tuple(queued for queued in queue if queued.deadline_ms <= now_ms)


def next_deadline_ms(queue: WorkQueue) -> float | None:
    """Return the earliest deadline, ``None`` if the queue is empty."""
    queued = first_by_priority(queue).values()
    return min((first.deadline_ms for first in queued), default=None)


def _deadline_of(entry: QueueEntry) -> float:
    return entry[0]
