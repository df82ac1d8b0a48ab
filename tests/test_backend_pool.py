"""BackendPool against the stand-in backend server, over real sockets."""

from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import pytest

from dandelionstage.backend.limits import ConnectionLimits, now_ms
from dandelionstage.backend.pool import BackendPool
from dandelionstage.model.contract import Priority
from dandelionstage.model.ids import (
    BackendId,
    CallId,
    CustomerId,
    DataCentreId,
    RequestId,
    Revision,
    ShardId,
    SnapshotId,
    WorkloadId,
)
from dandelionstage.model.messages import OwnerKey, Pin, SubRequest
from dandelionstage.model.topology import BackendServer
from dandelionstage.model.verdict import Reason, Run
from tools.standins.backend.faults import Faults, ReplyFault, Silence
from tools.standins.backend.listener import listen
from tools.standins.backend.messages import ServerSetup

pytestmark = pytest.mark.anyio

SEARCH = SubRequest(
    call=CallId('c-1'),
    request=RequestId('r-1'),
    customer=CustomerId('finder'),
    owner_key=OwnerKey(
        WorkloadId('finder-desk'),
        ShardId('s-1'),
        DataCentreId('burgas-c'),
    ),
    pin=Pin(SnapshotId('n-1'), Revision(7)),
    replicas=(BackendId('b-1'),),
    priority=Priority.URGENT,
    remaining_ms=500,
    query_json='{"ring": "BG 1"}',
)
ACTION = replace(
    SEARCH,
    action=True,
    query_json='{"action_id": "a-1", "action": {"letter": 1}}',
)


@asynccontextmanager
async def pool_and_server(allowance=4, port=None, limits=None, **setup):
    """Run a stand-in and a pool of connections to it."""
    async with anyio.create_task_group() as tasks:
        server = await tasks.start(
            listen,
            ServerSetup('b-1', 'i-1', **setup),
        )
        pool = BackendPool(
            BackendServer(
                backend=BackendId('b-1'),
                host='127.0.0.1',
                port=port or server.port,
                slots=2,
                max_connections=50,
            ),
            allowance,
            limits or ConnectionLimits(),
        )
        async with pool:
            yield pool, server
        tasks.cancel_scope.cancel()


@pytest.fixture
def anyio_backend():
    """Run on the event loop that the product runs on."""
    return ('asyncio', {'use_uvloop': True})


async def keep_outcome(pool, outcomes):
    """Make one attempt and keep its outcome."""
    outcomes.append(await pool.attempt(SEARCH, now_ms() + 9000))


async def until(happened):
    """Let the other tasks run until something has happened."""
    with anyio.fail_after(10):
        while not happened():
            await anyio.lowlevel.checkpoint()


async def test_search_gives_part_and_reuses_connection():
    async with pool_and_server() as (pool, server):
        await pool.attempt(SEARCH, now_ms() + 500)
        outcome = await pool.attempt(SEARCH, now_ms() + 500)
        assert outcome.verdict.reason is Reason.OK
        assert outcome.part.pin == SEARCH.pin
        assert len(outcome.part.records) == 2
        assert outcome.held_snapshots == ('n-1',)
        assert outcome.backend_incarnation == 'i-1'
        assert server.state.witness.opened_connections == 1


async def test_action_gives_its_outcome():
    async with pool_and_server() as (pool, server):
        outcome = await pool.attempt(ACTION, now_ms() + 500)
        assert outcome.verdict.run is Run.RAN
        record = outcome.part.records[0]
        assert record.body_json == '{"done":"a-1"}'
        sighting = server.state.witness.sightings[0]
        assert sighting.action_id == 'a-1'


@pytest.mark.parametrize(
    ('faults', 'reason', 'verdict_run'),
    [
        (Faults(draining=True), Reason.BACKEND_DRAINING, Run.NOT_RUN),
        (Faults(cold=True), Reason.BACKEND_COLD, Run.NOT_RUN),
        (Faults(refuse='error'), Reason.BACKEND_ERROR, Run.NOT_RUN),
        (
            Faults(refuse='error', refuse_run='may_have_run'),
            Reason.BACKEND_ERROR,
            Run.MAY_HAVE_RUN,
        ),
        (Faults(gone_snapshots=('n-1',)), Reason.SNAPSHOT_GONE, Run.NOT_RUN),
        (
            Faults(reply_fault=ReplyFault.LOST),
            Reason.CONNECTION_LOST,
            Run.MAY_HAVE_RUN,
        ),
        (
            Faults(reply_fault=ReplyFault.CUT),
            Reason.CONNECTION_LOST,
            Run.MAY_HAVE_RUN,
        ),
        (
            Faults(reply_fault=ReplyFault.MALFORMED),
            Reason.BAD_REPLY,
            Run.MAY_HAVE_RUN,
        ),
        (
            Faults(reply_fault=ReplyFault.WRONG_CALL),
            Reason.BAD_REPLY,
            Run.MAY_HAVE_RUN,
        ),
        (
            Faults(reply_fault=ReplyFault.WITHHELD),
            Reason.DEADLINE_EXPIRED,
            Run.MAY_HAVE_RUN,
        ),
        (
            Faults(silence=Silence.ALL),
            Reason.DEADLINE_EXPIRED,
            Run.MAY_HAVE_RUN,
        ),
    ],
)
async def test_each_fault_gives_its_verdict(faults, reason, verdict_run):
    async with pool_and_server() as (pool, server):
        server.listener.obey(faults)
        outcome = await pool.attempt(SEARCH, now_ms() + 200)
        assert outcome.verdict.reason is reason
        assert outcome.verdict.run is verdict_run
        assert outcome.part is None
        server.listener.obey(Faults())
        outcome = await pool.attempt(SEARCH, now_ms() + 500)
        assert outcome.verdict.reason is Reason.OK


async def test_nothing_listens():
    async with pool_and_server(port=1) as (pool, _server):
        outcome = await pool.attempt(SEARCH, now_ms() + 500)
        assert outcome.verdict.reason is Reason.CONNECT_FAILED
        assert outcome.verdict.run is Run.NOT_RUN


async def test_cancel_frees_the_slot():
    async with pool_and_server(service_ms=5000) as (pool, server):
        outcomes = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_outcome, pool, outcomes)
            await until(lambda: server.state.witness.starts)
            await pool.cancel(SEARCH.call)
        assert outcomes[0].verdict.reason is Reason.CANCELLED
        assert outcomes[0].verdict.run is Run.MAY_HAVE_RUN


async def test_allowance_bounds_connections():
    async with pool_and_server(allowance=2, slots=9) as (pool, server):
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(pool.attempt, SEARCH, now_ms() + 5000)
        assert server.state.witness.connections.most == 2
        assert server.state.witness.runs == 20
        await pool.close()
        outcome = await pool.attempt(SEARCH, now_ms() + 10)
        assert outcome.verdict.run is Run.NOT_RUN
