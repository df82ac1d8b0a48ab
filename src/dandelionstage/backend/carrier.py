"""Runs the connections to one backend server and carries exchanges."""

from types import TracebackType
from typing import Self, TypeVar, final

import anyio
from returns.result import Failure, Result

from ..model.topology import BackendServer
from ..model.verdict import Reason
from .connection import Connection
from .connection_set import ConnectionSet, retire_idle, retire_unproved
from .exchange import Exchange, Lost
from .limits import ConnectionLimits

__all__ = ('Carrier',)

OutcomeT = TypeVar('OutcomeT')


@final
class Carrier:
    """Owns the tasks of the connections, one task for each."""

    def __init__(
        self,
        server: BackendServer,
        allowance: int,
        limits: ConnectionLimits,
    ) -> None:
        """Prepare without connections; they open on demand."""
        self._server = server
        self._limits = limits
        self._connections = ConnectionSet(allowance, self._start)
        self._tasks = anyio.create_task_group()

    async def __aenter__(self) -> Self:
        """Start to close idle connections."""
        await self._tasks.__aenter__()
        self._tasks.start_soon(
            retire_idle,
            self._connections,
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

    async def carry(
        self,
        exchange: Exchange[OutcomeT],
    ) -> Result[OutcomeT, Lost]:
        """Send a request on a connection of its own and wait for its end."""
        connection = await self._connections.take(exchange.deadline_ms)
        if connection is None:
            return Failure(Lost(Reason.CONNECTION_LIMIT))
        connection.inbox.put(exchange)
        end = await exchange.wait()
        if isinstance(end, Failure):
            _distrust(self._connections, end.failure())
        return end

    def allow(self, allowance: int) -> None:
        """Change how many connections may be open at once."""
        self._connections.allow(allowance)

    async def close(self) -> None:
        """Take nothing more and wait until what is out has ended."""
        await self._connections.close()

    def _start(self) -> Connection:
        connection = Connection(
            self._server,
            self._limits,
            self._connections.rest,
        )
        self._tasks.start_soon(connection.run)
        return connection


def _distrust(connections: ConnectionSet, lost: Lost) -> None:
    if lost.reason is Reason.DEADLINE_EXPIRED and lost.sent_at_ms:
        # Idle connections that proved nothing since may lie on the same
        # dead path.
        retire_unproved(connections, lost.sent_at_ms)
