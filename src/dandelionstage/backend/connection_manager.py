"""Manages the connections to one backend server."""

from types import TracebackType
from typing import Any, Self, final

import anyio
from ..model.topology import BackendServer
from ..model.verdict import Reason
from .connection import Connection
from .connection_set import ConnectionSet, close_stale_periodically
from .exchange import Exchange, NoReply
from .limits import ConnectionLimits

__all__ = ('ConnectionManager',)


@final
class ConnectionManager:
    """Runs one task for each connection and assigns exchanges to them.

    :ivar connections: open connections, limited by the allowance.
    """

    def __init__(
        self,
        server: BackendServer,
        allowance: int,
        limits: ConnectionLimits,
    ) -> None:
        """Create the manager; connections are opened on demand.

        :param allowance: maximum number of open connections.
        """
        self._server = server
        self._limits = limits
        self.connections = ConnectionSet(allowance, self._start_connection)
        self._task_group = anyio.create_task_group()

    async def __aenter__(self) -> Self:
        """Start the task that closes idle connections."""
        await self._task_group.__aenter__()
        self._task_group.start_soon(
            close_stale_periodically,
            self.connections,
            self._limits.idle_timeout_ms,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Abort every connection; requests already sent may have run."""
        self._task_group.cancel_scope.cancel()
        await self._task_group.__aexit__(kind, error, trace)

    async def submit(
        self,
        exchange: Exchange[Any],
        replied_since_ms: float = 0,
    ) -> Connection | None:
        """Assign an exchange to a connection that is not in use.

        :param replied_since_ms: use only a connection that is new or had a
            reply since this monotonic time; 0 for any connection.
        :returns: ``None`` if no connection became available before the
            deadline; the exchange has then failed.
        """
        connection = await self.connections.acquire(
            exchange.deadline_ms,
            replied_since_ms,
        )
        if connection is None:
            exchange.fail(NoReply(Reason.CONNECTION_LIMIT))
        else:
            connection.inbox.put(exchange)
        return connection

    def _start_connection(self) -> Connection:
        connection = Connection(
            self._server,
            self._limits,
            self.connections.release,
        )
        self._task_group.start_soon(connection.run)
        return connection
