"""Runs the connections to one backend server and carries exchanges."""

from types import TracebackType
from typing import Any, Self, final

import anyio
from ..model.topology import BackendServer
from ..model.verdict import Reason
from .connection import Connection
from .connection_set import ConnectionSet, retire_idle
from .exchange import Exchange, NoReply
from .limits import ConnectionLimits

__all__ = ('Carrier',)


@final
class Carrier:
    """Owns the tasks of the connections, one task for each.

    :ivar connections: those open, and the allowance.
    """

    def __init__(
        self,
        server: BackendServer,
        allowance: int,
        limits: ConnectionLimits,
    ) -> None:
        """Prepare without connections; they open on demand."""
        self._server = server
        self._limits = limits
        self.connections = ConnectionSet(allowance, self._start)
        self._tasks = anyio.create_task_group()

    async def __aenter__(self) -> Self:
        """Start to close idle connections."""
        await self._tasks.__aenter__()
        self._tasks.start_soon(
            retire_idle,
            self.connections,
            self._limits.idle_ms,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Cut every connection; exchanges still out may have run."""
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(kind, error, trace)

    async def submit(
        self,
        exchange: Exchange[Any],
        proved_since_ms: float = 0,
    ) -> Connection | None:
        """Hand a request to a connection of its own.

        :param proved_since_ms: the connection proved itself since then, or
            is new.
        :returns: ``None`` if there was no connection to be had in time; then
            the exchange has ended.
        """
        connection = await self.connections.take(
            exchange.deadline_ms,
            proved_since_ms,
        )
        if connection is None:
            exchange.lose(NoReply(Reason.CONNECTION_LIMIT))
        else:
            connection.inbox.put(exchange)
        return connection

    def _start(self) -> Connection:
        connection = Connection(
            self._server,
            self._limits,
            self.connections.rest,
        )
        self._tasks.start_soon(connection.run)
        return connection
