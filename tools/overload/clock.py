"""A clock with timers that runs as fast as it can."""

import heapq
import itertools
from collections.abc import Callable
from typing import final

__all__ = ('Clock', 'Timer')


@final
class Clock:
    def __init__(self) -> None:
        self.now_ms: float = 0
        self._due: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def call_later(self, wait_ms: float, action: Callable[[], None]) -> 'Timer':
        timer = Timer(action)
        due_ms = self.now_ms + wait_ms
        heapq.heappush(self._due, (due_ms, next(self._order), timer))
        return timer

    def run(self, until_ms: float) -> None:
        while self._due and self._due[0][0] <= until_ms:
            due_ms, _, timer = heapq.heappop(self._due)
            self.now_ms = due_ms
            timer.run()


@final
class Timer:
    def __init__(self, action: Callable[[], None]) -> None:
        self._action: Callable[[], None] | None = action

    def cancel(self) -> None:
        self._action = None

    def run(self) -> None:
        if self._action is not None:
            self._action()
