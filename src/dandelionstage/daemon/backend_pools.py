"""The pools of connections that this daemon's owner uses."""

from collections.abc import Callable
from typing import final

import anyio
from anyio.abc import TaskGroup, TaskStatus

from ..backend.health import Health, ask_health
from ..backend.pool import BackendPool
from ..configuration.topology import Topology
from ..model.ids import BackendId, CallId
from ..model.topology import BackendServer
from ..model.verdict import Reason, not_run
from ..owner.messages import AttemptOutcome, StartAttempt

__all__ = ('BackendPools',)


@final
class BackendPools:
    """Opens one pool for each backend server on first use."""

    def __init__(
        self,
        group: TaskGroup,
        topology: Callable[[], Topology],
    ) -> None:
        """Open nothing yet.

        :param group: keeps the pools open until it is cancelled.
        """
        self._group = group
        self._topology = topology
        self._pools: dict[BackendServer, BackendPool] = {}
        self._opening = anyio.Lock()

    async def attempt(
        self,
        start: StartAttempt,
        allowance: int,
    ) -> AttemptOutcome:
        """Send one attempt and wait for its end.

        :param allowance: connections to the server open at once.
        """
        pool = await self._pool(start.backend, allowance)
        if pool is None:
            return _unknown(start)
        return await pool.attempt(start.sub_request, start.deadline_ms)

    async def cancel(self, backend: BackendId, call: CallId) -> None:
        """Ask a backend server to stop a call that was sent to it."""
        placed = self._topology().backends.get(backend)
        pool = self._pools.get(placed.server) if placed else None
        if pool is not None:
            await pool.cancel(call)

    async def ask_health(self, backend: BackendId) -> Health | None:
        """Ask a backend server who it is, ``None`` if it does not say."""
        placed = self._topology().backends.get(backend)
        return None if placed is None else await ask_health(placed.server)

    async def _pool(
        self,
        backend: BackendId,
        allowance: int,
    ) -> BackendPool | None:
        placed = self._topology().backends.get(backend)
        if placed is None:
            return None
        pool = self._pools.get(placed.server)
        if pool is None:
            pool = await self._open(placed.server, allowance)
        pool.set_allowance(allowance)
        return pool

    async def _open(self, server: BackendServer, allowance: int) -> BackendPool:
        async with self._opening:
            if server not in self._pools:
                pool = BackendPool(server, allowance)
                await self._group.start(_keep, pool)
                self._pools[server] = pool
            return self._pools[server]


async def _keep(
    pool: BackendPool,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    async with pool:
        task_status.started()
        await anyio.sleep_forever()


def _unknown(start: StartAttempt) -> AttemptOutcome:
    return AttemptOutcome(
        call=start.sub_request.call,
        backend=start.backend,
        verdict=not_run(Reason.UNKNOWN_BACKEND),
    )
