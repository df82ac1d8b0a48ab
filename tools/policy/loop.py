"""Virtual time: what happens next, and when."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import final

__all__ = ('Loop',)

Action = Callable[[], None]


@final
class Loop:
    """Runs actions in the order of their times.

    :ivar now_ms: virtual time.
    """

    def __init__(self) -> None:
        """Start at time 0."""
        self.now_ms: float = 0
        self._actions: list[tuple[float, int, Action]] = []
        self._numbers = count()

    def at(self, time_ms: float, action: Action) -> None:
        """Plan an action; those of the same time keep their order."""
        heappush(self._actions, (time_ms, next(self._numbers), action))

    def after(self, wait_ms: float, action: Action) -> None:
        """Plan an action some time from now."""
        self.at(self.now_ms + wait_ms, action)

    def run(self, until_ms: float) -> None:
        """Let time pass."""
        while self._actions and self._actions[0][0] <= until_ms:
            time_ms, _number, action = heappop(self._actions)
            self.now_ms = time_ms
            action()
        self.now_ms = until_ms
