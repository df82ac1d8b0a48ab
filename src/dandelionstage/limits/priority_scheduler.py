"""Chooses the priority of the next work to start."""

from collections.abc import Collection
from types import MappingProxyType
from typing import Final, final

from ..model.contract import Priority

__all__ = ('PriorityScheduler',)

#: Starts of other priorities after which a waiting priority goes first.
_MAX_PASSED_OVER: Final = MappingProxyType(
    {Priority.INTERACTIVE: 9, Priority.BATCH: 19},
)


@final
class PriorityScheduler:
    """Chooses the most urgent priority without starving the others.

    A waiting priority is passed over for at most a fixed number of starts.
    """

    def __init__(self) -> None:
        """Create a scheduler without any recorded start."""
        self._passed_over = dict.fromkeys(Priority, 0)

    def pick(self, waiting: Collection[Priority]) -> Priority | None:
        """Return the priority to start next, ``None`` if none waits."""
        for priority, max_passed_over in _MAX_PASSED_OVER.items():
            if (
                priority in waiting
                and self._passed_over[priority] >= max_passed_over
            ):
                return priority
        return next((each for each in Priority if each in waiting), None)

    def record_start(
        self, chosen: Priority, waiting: Collection[Priority]
    ) -> None:
        """Record the start of work of one of the waiting priorities."""
        for priority in waiting:
            self._passed_over[priority] += 1
        self._passed_over[chosen] = 0
