"""The pools of a daemon's owner."""

from types import SimpleNamespace

import anyio
import pytest

from dandelionstage.backend.limits import now_ms
from dandelionstage.daemon.backend_pools import BackendPools
from dandelionstage.model.topology import BackendServer
from dandelionstage.owner.messages import StartAttempt
from tests.test_backend_pool import SEARCH_SUB_REQUEST
from tools.standins.backend.listener import listen
from tools.standins.backend.messages import ServerSetup

pytestmark = pytest.mark.anyio


async def test_cancel_leaves_idle_connections_open():
    async with anyio.create_task_group() as tasks:
        setup = ServerSetup('b-1', 'i-1', slots=9, service_ms=20)
        listening = await tasks.start(listen, setup)
        server = BackendServer(
            backend='b-1',
            host='127.0.0.1',
            port=listening.port,
            slots=9,
            max_connections=50,
        )
        placed = SimpleNamespace(server=server)
        topology = SimpleNamespace(backends={'b-1': placed})
        pools = BackendPools(tasks, lambda: topology)
        async with anyio.create_task_group() as attempts:
            for _ in range(3):
                start = StartAttempt(SEARCH_SUB_REQUEST, 'b-1', now_ms() + 5000)
                attempts.start_soon(pools.attempt, start, 4)
        await pools.cancel('b-1', SEARCH_SUB_REQUEST.call)
        await anyio.wait_all_tasks_blocked()
        connections = listening.state.witness.connections
        assert (connections.in_use, connections.most) == (3, 3)
        tasks.cancel_scope.cancel()


async def test_cancel_at_a_server_never_used_does_nothing():
    topology = SimpleNamespace(backends={})
    pools = BackendPools(None, lambda: topology)
    await pools.cancel('b-1', SEARCH_SUB_REQUEST.call)
