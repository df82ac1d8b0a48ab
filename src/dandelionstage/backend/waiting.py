"""Those who wait for a connection, first come first served."""

from collections import deque
from dataclasses import dataclass, field
from typing import final

import anyio

from .connection import Connection
from .limits import MS

__all__ = ('WaitingLine',)


@final
@dataclass(slots=True, eq=False)
class _Waiter:
    ready: anyio.Event = field(default_factory=anyio.Event)
    connection: Connection | None = None
    taken: bool = False

    async def wait(self, deadline_ms: float) -> None:
        with anyio.CancelScope(deadline=deadline_ms / MS):
            await self.ready.wait()
        self.taken = True


@final
class WaitingLine:
    """Hands connections to those who wait."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiters: deque[_Waiter] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether nobody waits."""
        return not self._waiters

    async def wait(self, deadline_ms: float) -> Connection | None:
        """Wait for a connection, ``None`` when the wait was in vain."""
        waiter = _Waiter()
        self._waiters.append(waiter)
        try:  # noqa: WPS501 -- leave the line, also when cancelled
            await waiter.wait(deadline_ms)
        finally:
            self._leave(waiter)
        return waiter.connection

    def give(self, connection: Connection) -> None:
        """Hand a connection to the first in line; there must be one."""
        waiter = self._waiters.popleft()
        waiter.connection = connection
        waiter.ready.set()

    def dismiss(self) -> None:
        """Send everybody away with nothing."""
        while self._waiters:
            self._waiters.popleft().ready.set()

    def _leave(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if waiter.connection is not None and not waiter.taken:
            # Given at the very moment of being cancelled: nobody uses it.
            waiter.connection.inbox.close()
