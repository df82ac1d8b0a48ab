"""Keeps the connections to one backend server within an allowance."""

from collections import deque
from collections.abc import Callable
from typing import final

import anyio

from .connection import Connection
from .limits import MS_PER_S, now_ms
from .wait_queue import WaitQueue

__all__ = ('ConnectionSet', 'close_stale', 'close_stale_periodically')


@final
class ConnectionSet:
    """Tracks open and idle connections and the tasks waiting for one.

    :ivar idle: idle connections; the most recently used is last and is used
        first.
    """

    def __init__(
        self, allowance: int, start_connection: Callable[[], Connection]
    ) -> None:
        """Create a set without connections.

        :param allowance: maximum number of open connections.
        :param start_connection: creates a connection and starts its task.
        """
        self._allowance = allowance
        self._start_connection = start_connection
        self._open: set[Connection] = set()
        self.idle: deque[Connection] = deque()
        self._wait_queue = WaitQueue()
        self._closed = False
        self._all_closed = anyio.Event()

    async def acquire(
        self,
        deadline_ms: float,
        replied_since_ms: float,
    ) -> Connection | None:
        """Return an idle or new connection, waiting for one if necessary.

        :param replied_since_ms: idle connections without a reply since this
            monotonic time are closed first, so that a new one is opened; 0
            keeps all of them.
        :returns: ``None`` if the deadline passed or the set was closed.
        """
        if replied_since_ms:
            close_stale(self, replied_since_ms)
        connection = self._acquire_now()
        if connection is not None or self._closed:
            return connection
        return await self._wait_queue.wait(deadline_ms)

    def release(self, connection: Connection) -> None:
        """Take back a connection that has become idle or has ended."""
        if connection.inbox.closed:
            self._open.discard(connection)
            if connection in self.idle:
                self.idle.remove(connection)
        elif self._closed or len(self._open) > self._allowance:
            connection.inbox.close()
        else:
            self.idle.append(connection)
        self._serve_next_waiter()

    def change_allowance(self, allowance: int) -> None:
        """Change the allowance and close idle connections above it."""
        if allowance == self._allowance:
            return
        self._allowance = allowance
        surplus = max(0, len(self._open) - allowance)
        for connection in tuple(self.idle)[:surplus]:
            connection.inbox.close()
        self._serve_next_waiter()

    async def close(self) -> None:
        """Refuse new requests and wait until every connection has ended."""
        self._closed = True
        self._wait_queue.release_all()
        # Closes all idle connections: their last replies are in the past.
        close_stale(self, now_ms())
        if self._open:
            await self._all_closed.wait()

    def _acquire_now(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable:
                return connection
            connection.inbox.close()
        if self._closed or len(self._open) >= self._allowance:
            return None
        connection = self._start_connection()
        self._open.add(connection)
        return connection

    def _serve_next_waiter(self) -> None:
        if not self._wait_queue.is_empty:
            connection = self._acquire_now()
            if connection is not None:
                self._wait_queue.hand_over(connection)
        if self._closed and not self._open:
            self._all_closed.set()


def close_stale(connections: ConnectionSet, since_ms: float) -> None:
    """Close idle connections that had no reply since ``since_ms``.

    :param since_ms: monotonic time in milliseconds.
    """
    for connection in tuple(connections.idle):
        if connection.last_reply_at_ms < since_ms:
            connection.inbox.close()


async def close_stale_periodically(
    connections: ConnectionSet, idle_timeout_ms: float
) -> None:
    """Close idle connections that had no reply for ``idle_timeout_ms``.

    The connections are checked every half of that time.
    """
    while True:
        await anyio.sleep(idle_timeout_ms / 2 / MS_PER_S)
        close_stale(connections, now_ms() - idle_timeout_ms)
