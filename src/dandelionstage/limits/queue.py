"""Waiting work, ordered by priority and then by deadline."""

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
    'list_expired',
    'first_by_priority',
    'next_deadline_ms',
)

#: Most urgent first.
_ORDER: Final = tuple(Priority)

#: Sorted by deadline, equal ones by order of arrival.
QueueEntry = tuple[float, int, QueuedSubRequest]


@final
class WorkQueue:
    """Holds work that may start at any of the same backend servers."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[Priority, list[QueueEntry]] = {
            priority: [] for priority in _ORDER
        }
        self._entry_of: dict[CallId, QueueEntry] = {}
        self._numbers = count()

    def __len__(self) -> int:
        """Count what waits."""
        return len(self._entry_of)

    def push(self, waiting: QueuedSubRequest) -> None:
        """Add work."""
        entry = (waiting.deadline_ms, next(self._numbers), waiting)
        insort(self._entries[waiting.priority], entry)
        self._entry_of[waiting.call] = entry

    def remove(self, call: CallId) -> QueuedSubRequest | None:
        """Take one call out, ``None`` if it does not wait here."""
        entry = self._entry_of.pop(call, None)
        if entry is None:
            return None
        entries = self._entries[entry[-1].priority]
        entries.pop(bisect_left(entries, entry))
        return entry[-1]

    def __iter__(self) -> Iterator[QueuedSubRequest]:
        """List what waits, in order of arrival."""
        return (entry[-1] for entry in self._entry_of.values())

    def entries(self, priority: Priority) -> Sequence[QueueEntry]:
        """Return the work of one priority, first to last."""
        return self._entries[priority]


def first_by_priority(queue: WorkQueue) -> dict[Priority, QueuedSubRequest]:
    """Find the work of each priority that ends soonest."""
    by_priority = {each: queue.entries(each) for each in _ORDER}
    return {
        priority: entries[0][-1]
        for priority, entries in by_priority.items()
        if entries
    }


def count_ahead(
    queue: WorkQueue, priority: Priority, deadline_ms: float
) -> int:
    """Count the work that starts before work that arrives now."""
    higher = _ORDER[: _ORDER.index(priority)]
    ahead = sum(len(queue.entries(each)) for each in higher)
    entries = queue.entries(priority)
    return ahead + bisect_left(entries, deadline_ms, key=_deadline_of)


def find_least_urgent(
    queue: WorkQueue, than: Priority
) -> QueuedSubRequest | None:
    """Return the work to shed for newcomers of a higher priority."""
    lower = _ORDER[_ORDER.index(than) + 1 :]
    for priority in reversed(lower):
        entries = queue.entries(priority)
        if entries:
            return entries[-1][-1]
    return None


def list_expired(
    queue: WorkQueue, now_ms: float
) -> tuple[QueuedSubRequest, ...]:
    """List the work whose deadline has passed."""
    return tuple(waiting for waiting in queue if waiting.deadline_ms <= now_ms)


def next_deadline_ms(queue: WorkQueue) -> float | None:
    """Say when the next work expires."""
    firsts = first_by_priority(queue).values()
    return min((first.deadline_ms for first in firsts), default=None)


def _deadline_of(entry: QueueEntry) -> float:
    return entry[0]
