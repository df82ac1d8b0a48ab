"""The connections to one backend server, up to an allowance."""

from collections import deque
from collections.abc import Callable
from typing import final

import anyio

from .connection import Connection
from .limits import MS, now_ms
from .waiting import WaitingLine

__all__ = ('ConnectionSet', 'retire_idle', 'retire_unproved')


@final
class ConnectionSet:
    """Knows which connections are open, idle and waited for.

    :ivar idle: the one that rested last is at the end and is used first.
    """

    def __init__(self, allowance: int, start: Callable[[], Connection]) -> None:
        """Start empty.

        :param allowance: most connections open at once.
        :param start: starts the task of a new connection.
        """
        self._allowance = allowance
        self._start = start
        self._open: set[Connection] = set()
        self.idle: deque[Connection] = deque()
        self._waiting = WaitingLine()
        self._closed = False
        self._empty = anyio.Event()

    async def take(
        self,
        deadline_ms: float,
        proved_since_ms: float,
    ) -> Connection | None:
        """Give a connection, waiting for one.

        :param proved_since_ms: idle connections that proved nothing since
            then are closed, so that a new one is opened; 0 for any.
        :returns: ``None`` after the deadline or when closed.
        """
        if proved_since_ms:
            retire_unproved(self, proved_since_ms)
        connection = self._take_now()
        if connection is not None or self._closed:
            return connection
        return await self._waiting.wait(deadline_ms)

    def rest(self, connection: Connection) -> None:
        """Take back a connection that has nothing to do, or has closed."""
        if connection.inbox.closed:
            self._open.discard(connection)
            if connection in self.idle:
                self.idle.remove(connection)
        elif self._closed or len(self._open) > self._allowance:
            connection.inbox.close()
        else:
            self.idle.append(connection)
        self._serve_waiting()

    def allow(self, allowance: int) -> None:
        """Change the allowance; idle connections above it are closed."""
        if allowance == self._allowance:
            return
        self._allowance = allowance
        surplus = max(0, len(self._open) - allowance)
        for connection in tuple(self.idle)[:surplus]:
            connection.inbox.close()
        self._serve_waiting()

    async def close(self) -> None:
        """Refuse to give any and wait until the last has closed."""
        self._closed = True
        self._waiting.dismiss()
        retire_unproved(self, now_ms())
        if self._open:
            await self._empty.wait()

    def _take_now(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable:
                return connection
            connection.inbox.close()
        if self._closed or len(self._open) >= self._allowance:
            return None
        connection = self._start()
        self._open.add(connection)
        return connection

    def _serve_waiting(self) -> None:
        if not self._waiting.is_empty:
            connection = self._take_now()
            if connection is not None:
                self._waiting.give(connection)
        if self._closed and not self._open:
            self._empty.set()


def retire_unproved(connections: ConnectionSet, since_ms: float) -> None:
    """Close the idle connections that proved nothing since then."""
    for connection in tuple(connections.idle):
        if connection.proved_at_ms < since_ms:
            connection.inbox.close()


async def retire_idle(connections: ConnectionSet, idle_ms: float) -> None:
    """Close connections unused for a time, looking twice in that time."""
    while True:
        await anyio.sleep(idle_ms / 2 / MS)
        retire_unproved(connections, now_ms() - idle_ms)
