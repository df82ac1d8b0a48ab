"""A first-in, first-out queue of tasks waiting for a connection."""

from collections import deque
from dataclasses import dataclass, field
from typing import final

import anyio

from .connection import Connection
from .limits import MS_PER_S

__all__ = ('WaitQueue',)


@final
@dataclass(slots=True, eq=False)
class _Waiter:
    """A task waiting for a connection.

    :ivar ready: set when the task is given a connection or released.
    :ivar wait_ended: whether the wait ended without being cancelled.
    """

    ready: anyio.Event = field(default_factory=anyio.Event)
    connection: Connection | None = None
    wait_ended: bool = False

    async def wait(self, deadline_ms: float) -> None:
        with anyio.CancelScope(deadline=deadline_ms / MS_PER_S):
            await self.ready.wait()
        self.wait_ended = True


@final
class WaitQueue:
    """Passes connections to waiting tasks in order of arrival."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiters: deque[_Waiter] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether no task is waiting."""
        return not self._waiters

    async def wait(self, deadline_ms: float) -> Connection | None:
        """Wait for a connection.

        :returns: ``None`` after the deadline or ``release_all``.
        """
        waiter = _Waiter()
        self._waiters.append(waiter)
        try:  # noqa: WPS501 -- leave the queue, also when cancelled
            await waiter.wait(deadline_ms)
        finally:
            self._remove(waiter)
        return waiter.connection

    def hand_over(self, connection: Connection) -> None:
        """Pass a connection to the first waiting task; one must be waiting."""
        waiter = self._waiters.popleft()
        waiter.connection = connection
        waiter.ready.set()

    def release_all(self) -> None:
        """Wake all waiting tasks without a connection."""
        while self._waiters:
            self._waiters.popleft().ready.set()

    def _remove(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if waiter.connection is not None and not waiter.wait_ended:
            # The task was cancelled after it was given the connection, so
            # no task uses it.
            waiter.connection.inbox.close()
