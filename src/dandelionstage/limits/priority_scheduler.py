"""Which priority starts next."""

from collections.abc import Collection
from types import MappingProxyType
from typing import Final, final

from ..model.contract import Priority

__all__ = ('PriorityScheduler',)

#: Starts that may pass over a waiting priority before it has its turn.
_FLOOR_STARTS: Final = MappingProxyType(
    {Priority.INTERACTIVE: 9, Priority.BATCH: 19},
)


@final
class PriorityScheduler:
    """Says which priority starts next, with a floor for the lower ones.

    The most urgent goes first, but no waiting priority is passed over for
    more than a fixed number of starts.
    """

    def __init__(self) -> None:
        """Start with nobody passed over."""
        self._passed = dict.fromkeys(Priority, 0)

    def pick(self, waiting: Collection[Priority]) -> Priority | None:
        """Choose among the priorities that wait."""
        for priority, floor_starts in _FLOOR_STARTS.items():
            if priority in waiting and self._passed[priority] >= floor_starts:
                return priority
        return next((each for each in Priority if each in waiting), None)

    def record_start(
        self, chosen: Priority, waiting: Collection[Priority]
    ) -> None:
        """Record a start while these priorities waited."""
        for priority in waiting:
            self._passed[priority] += 1
        self._passed[chosen] = 0
