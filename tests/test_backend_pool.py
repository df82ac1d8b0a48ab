"""Tests of BackendPool with a stand-in backend server over sockets."""

import socket
from contextlib import ExitStack, asynccontextmanager, contextmanager
from dataclasses import replace

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionstage.backend.http_connection import open_http_connection
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

SEARCH_SUB_REQUEST = SubRequest(
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
ACTION_SUB_REQUEST = replace(
    SEARCH_SUB_REQUEST,
    action=True,
    query_json='{"action_id": "a-1", "action": {"letter": 1}}',
)


@asynccontextmanager
async def pool_and_server(allowance=4, port=None, limits=None, **setup):
    """Run a stand-in backend server and a pool of connections to it."""
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
    """Use the event loop that the daemon uses."""
    return ('asyncio', {'use_uvloop': True})


async def record_outcome(pool, outcomes, timeout_ms=9000):
    """Make one attempt and record its outcome."""
    outcomes.append(
        await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + timeout_ms)
    )


async def wait_until(condition):
    """Let the other tasks run until a condition holds."""
    with anyio.fail_after(10):
        while not condition():
            await anyio.lowlevel.checkpoint()


async def test_search_gives_part_and_reuses_connection():
    async with pool_and_server() as (pool, server):
        await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 500)
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 500)
        assert outcome.verdict.reason is Reason.OK
        assert outcome.part.pin == SEARCH_SUB_REQUEST.pin
        assert len(outcome.part.records) == 2
        assert outcome.held_snapshots == ('n-1',)
        assert outcome.backend_incarnation == 'i-1'
        assert server.state.witness.opened_connections == 1


async def test_action_gives_its_outcome():
    async with pool_and_server() as (pool, server):
        outcome = await pool.attempt(ACTION_SUB_REQUEST, now_ms() + 500)
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
        (Faults(refuse='overloaded'), Reason.BACKEND_OVERLOADED, Run.NOT_RUN),
        (Faults(refuse='shard_moved'), Reason.SHARD_MOVED, Run.NOT_RUN),
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
    ids=[
        'draining',
        'cold',
        'error',
        'error may have run',
        'overloaded',
        'shard moved',
        'snapshot gone',
        'lost',
        'cut',
        'malformed',
        'wrong call',
        'withheld',
        'silent',
    ],
)
async def test_each_fault_gives_its_verdict(faults, reason, verdict_run):
    async with pool_and_server() as (pool, server):
        server.listener.obey(faults)
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 200)
        assert outcome.verdict.reason is reason
        assert outcome.verdict.run is verdict_run
        assert outcome.part is None
        server.listener.obey(Faults())
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 500)
        assert outcome.verdict.reason is Reason.OK


@pytest.mark.parametrize(
    ('fault', 'shard', 'snapshot'),
    [
        (ReplyFault.WRONG_SNAPSHOT, 's-1', 'wrong'),
        (ReplyFault.WRONG_SHARD, 'wrong', 'n-1'),
    ],
)
async def test_part_repeats_shard_and_snapshot_of_the_reply(
    fault, shard, snapshot
):
    async with pool_and_server() as (pool, server):
        server.listener.obey(Faults(reply_fault=fault))
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        assert outcome.part.shard == shard
        assert outcome.part.pin == Pin(
            snapshot, SEARCH_SUB_REQUEST.pin.shard_map_revision
        )


@contextmanager
def full_backlog():
    """Listen on a port that accepts no further connection."""
    with ExitStack() as sockets:
        listening = sockets.enter_context(socket.socket())
        listening.bind(('127.0.0.1', 0))
        listening.listen(0)
        port = listening.getsockname()[1]
        for _ in range(3):
            client = sockets.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(('127.0.0.1', port))
        yield port


@pytest.mark.parametrize(
    ('connect_timeout_ms', 'timeout_ms'), [(50, 9000), (9000, 50)]
)
async def test_connect_time_is_bounded(connect_timeout_ms, timeout_ms):
    limits = ConnectionLimits(connect_timeout_ms=connect_timeout_ms)
    with full_backlog() as port:
        async with pool_and_server(port=port, limits=limits) as (pool, _):
            outcome = await pool.attempt(
                SEARCH_SUB_REQUEST, now_ms() + timeout_ms
            )
            assert outcome.verdict.reason is Reason.CONNECT_FAILED
            assert outcome.verdict.run is Run.NOT_RUN
            assert outcome.hop_ms < 2000


async def test_connection_over_the_servers_limit_is_lost():
    async with pool_and_server(max_connections=1) as (pool, server):
        async with anyio.create_task_group() as tasks:
            outcomes = []
            for _ in range(2):
                tasks.start_soon(record_outcome, pool, outcomes)
        assert sorted(one.verdict.reason.value for one in outcomes) == [
            'connection_lost',
            'ok',
        ]
        assert server.state.witness.runs == 1


async def test_refused_connection_gives_not_run():
    async with pool_and_server(port=1) as (pool, _server):
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 500)
        assert outcome.verdict.reason is Reason.CONNECT_FAILED
        assert outcome.verdict.run is Run.NOT_RUN


async def test_cancelled_attempt_may_have_run():
    async with pool_and_server(service_ms=5000) as (pool, server):
        outcomes = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record_outcome, pool, outcomes)
            await wait_until(lambda: server.state.witness.starts)
            await pool.cancel(SEARCH_SUB_REQUEST.call)
        assert outcomes[0].verdict.reason is Reason.CANCELLED
        assert outcomes[0].verdict.run is Run.MAY_HAVE_RUN


async def test_allowance_bounds_connections():
    async with pool_and_server(allowance=2, slots=9) as (pool, server):
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(
                    pool.attempt, SEARCH_SUB_REQUEST, now_ms() + 5000
                )
        assert server.state.witness.connections.most == 2
        assert server.state.witness.runs == 20
        await pool.close()
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 10)
        assert outcome.verdict.run is Run.NOT_RUN


async def make_idle_connection_silent(pool, server):
    """Give the pool an idle connection on which replies stop."""
    outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
    assert outcome.verdict.reason is Reason.OK
    server.listener.obey(Faults(silence=Silence.OPEN))
    # Only connections that are open already stay silent.
    server.listener.obey(Faults())


async def test_silent_connection_is_replaced_within_two_seconds():
    async with pool_and_server() as (pool, server):
        await make_idle_connection_silent(pool, server)
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 60_000)
        assert outcome.verdict.reason is Reason.OK
        assert outcome.hop_ms < 2000
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 60_000)
        assert outcome.hop_ms < 500
        await wait_until(lambda: server.state.witness.connections.in_use == 1)
        assert server.state.witness.opened_connections == 2


async def test_timeout_on_a_reused_connection_gives_connection_silent():
    async with pool_and_server() as (pool, server):
        await make_idle_connection_silent(pool, server)
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 100)
        assert outcome.verdict.reason is Reason.CONNECTION_SILENT
        assert outcome.verdict.run is Run.MAY_HAVE_RUN
        assert outcome.service_ms >= 50
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        assert outcome.verdict.reason is Reason.OK


async def test_timeout_closes_idle_connections_without_a_later_reply():
    async with pool_and_server(slots=9) as (pool, server):
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(
                    pool.attempt, SEARCH_SUB_REQUEST, now_ms() + 5000
                )
        server.listener.obey(Faults(silence=Silence.OPEN))
        server.listener.obey(Faults())
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 100)
        assert outcome.verdict.reason is Reason.CONNECTION_SILENT
        await wait_until(lambda: server.state.witness.connections.in_use == 0)


async def test_timeout_on_a_new_connection_gives_deadline_expired():
    limits = ConnectionLimits(silence_timeout_ms=50)
    async with pool_and_server(limits=limits) as (pool, server):
        await make_idle_connection_silent(pool, server)
        server.listener.obey(Faults(silence=Silence.ALL))
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 200)
        assert outcome.verdict.reason is Reason.DEADLINE_EXPIRED
        assert server.state.witness.opened_connections == 2


async def test_slow_reply_is_used_when_the_second_copy_is_refused():
    limits = ConnectionLimits(silence_timeout_ms=20)
    async with pool_and_server(limits=limits, service_ms=100) as (pool, server):
        outcomes = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record_outcome, pool, outcomes)
            await wait_until(lambda: server.state.witness.starts)
            server.listener.obey(Faults(draining=True))
        assert outcomes[0].verdict.reason is Reason.OK
        assert server.state.witness.opened_connections == 2


async def test_slow_reply_is_used_when_the_second_copy_gets_no_reply():
    limits = ConnectionLimits(silence_timeout_ms=20)
    async with pool_and_server(limits=limits, service_ms=100) as (pool, server):
        outcomes = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record_outcome, pool, outcomes, 2000)
            await wait_until(lambda: server.state.witness.starts)
            server.listener.obey(Faults(silence=Silence.NEW))
        assert outcomes[0].verdict.reason is Reason.OK
        assert outcomes[0].hop_ms < 1500


async def test_expired_attempt_sends_nothing_and_keeps_the_connection():
    async with pool_and_server() as (pool, server):
        await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms())
        assert outcome.verdict.reason is Reason.DEADLINE_EXPIRED
        assert outcome.verdict.run is Run.NOT_RUN
        await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        assert server.state.witness.opened_connections == 1


@pytest.mark.parametrize(
    'fault',
    [
        ReplyFault.MALFORMED,
        ReplyFault.WRONG_CALL,
        ReplyFault.WRONG_BACKEND,
    ],
)
async def test_connection_with_a_bad_reply_is_not_used_again(fault):
    async with pool_and_server() as (pool, server):
        server.listener.obey(Faults(reply_fault=fault, reply_fault_count=1))
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        assert outcome.verdict.reason is Reason.BAD_REPLY
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        assert outcome.verdict.reason is Reason.OK
        assert server.state.witness.opened_connections == 2


async def test_action_is_never_sent_twice():
    limits = ConnectionLimits(silence_timeout_ms=20)
    async with pool_and_server(limits=limits) as (pool, server):
        server.listener.obey(Faults(reply_fault=ReplyFault.WITHHELD))
        outcome = await pool.attempt(ACTION_SUB_REQUEST, now_ms() + 200)
        assert outcome.verdict.run is Run.MAY_HAVE_RUN
        assert server.state.witness.starts == 1


async def test_action_is_not_sent_without_a_recent_reply_on_the_connection():
    limits = ConnectionLimits(action_reply_age_ms=0)
    async with pool_and_server(limits=limits, allowance=1) as (pool, server):
        await make_idle_connection_silent(pool, server)
        outcome = await pool.attempt(ACTION_SUB_REQUEST, now_ms() + 5000)
        assert outcome.verdict.run is Run.RAN
        assert server.state.witness.starts == 2


async def test_connection_closed_while_idle_is_not_used():
    async with pool_and_server() as (pool, server):
        await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        server.listener.obey(Faults(hang_up=True))
        await wait_until(lambda: server.state.witness.connections.in_use == 0)
        outcome = await pool.attempt(ACTION_SUB_REQUEST, now_ms() + 5000)
        assert outcome.verdict.run is Run.RAN


async def test_connection_closed_while_running_may_have_run():
    """An attempt in progress is not taken for one that has not run."""
    async with pool_and_server(service_ms=5000) as (pool, server):
        outcomes = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record_outcome, pool, outcomes)
            await wait_until(lambda: server.state.witness.starts)
            server.listener.obey(Faults(hang_up=True))
        assert outcomes[0].verdict.reason is Reason.CONNECTION_LOST
        assert outcomes[0].verdict.run is Run.MAY_HAVE_RUN


async def test_repeated_reply_is_not_used_for_another_call():
    async with pool_and_server() as (pool, server):
        server.listener.obey(
            Faults(reply_fault=ReplyFault.REPEATED, reply_fault_count=1),
        )
        await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        other_sub_request = replace(SEARCH_SUB_REQUEST, call='c-2')
        outcome = await pool.attempt(other_sub_request, now_ms() + 5000)
        assert outcome.verdict.reason in {Reason.OK, Reason.BAD_REPLY}
        outcome = await pool.attempt(other_sub_request, now_ms() + 5000)
        assert outcome.verdict.reason is Reason.OK


async def test_too_long_reply_is_refused():
    limits = ConnectionLimits(max_reply_bytes=100)
    async with pool_and_server(limits=limits) as (pool, _):
        outcome = await pool.attempt(SEARCH_SUB_REQUEST, now_ms() + 5000)
        assert outcome.verdict.reason is Reason.BAD_REPLY
        assert outcome.verdict.run is Run.MAY_HAVE_RUN


async def test_attempt_aborted_by_leaving_the_pool_may_have_run():
    outcomes = []
    async with anyio.create_task_group() as tasks:
        async with pool_and_server(service_ms=5000) as (pool, server):
            tasks.start_soon(record_outcome, pool, outcomes)
            await wait_until(lambda: server.state.witness.starts)
    assert outcomes[0].verdict.run is Run.MAY_HAVE_RUN


async def test_close_waits_for_pending_attempts_and_refuses_new_ones():
    async with pool_and_server(service_ms=50) as (pool, server):
        outcomes = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record_outcome, pool, outcomes)
            await wait_until(lambda: server.state.witness.starts)
            await pool.close()
            refused_outcome = await pool.attempt(
                SEARCH_SUB_REQUEST, now_ms() + 5000
            )
        assert outcomes[0].verdict.run is Run.RAN
        assert refused_outcome.verdict.run is Run.NOT_RUN


async def test_process_paused_before_the_send_sends_nothing():
    """A pause after the deadline check must not lead to a late send."""
    async with pool_and_server() as (_, server):
        address = BackendServer(
            backend='b-1',
            host='127.0.0.1',
            port=server.port,
            slots=2,
            max_connections=50,
        )
        http_connection = await open_http_connection(
            address, ConnectionLimits(), now_ms() + 5000
        )
        async with http_connection:
            no_reply = await http_connection.post(PausedExchange(now_ms() + 20))
        assert no_reply.reason is Reason.DEADLINE_EXPIRED
        assert no_reply.sent_at_ms is None


class PausedExchange:
    """An exchange whose encoding lasts until its deadline."""

    target = b'/v1/search'

    def __init__(self, deadline_ms):
        self.deadline_ms = deadline_ms

    def encode(self, _now_ms):
        """Block until the deadline has passed."""
        body = b'{}'
        while now_ms() < self.deadline_ms:
            body = body.ljust(3)
        return body


_FAULTS = st.builds(
    Faults,
    slow_factor=st.sampled_from([1, 100]),
    draining=st.booleans(),
    silence=st.sampled_from(Silence),
    reply_fault=st.sampled_from(ReplyFault),
    refuse=st.sampled_from([None, None, None, 'error']),
    hang_up=st.booleans(),
)


@settings(max_examples=60, deadline=None)
@given(steps=st.lists(st.tuples(_FAULTS, st.booleans()), max_size=6))
def test_verdicts_agree_with_the_witness(steps):
    """Compare verdicts with the log (witness) of the stand-in server."""
    anyio.run(check_verdicts, steps, backend_options={'use_uvloop': True})


async def check_verdicts(steps):
    """Compare each verdict with the log of the stand-in server."""
    limits = ConnectionLimits(silence_timeout_ms=5)
    async with pool_and_server(service_ms=1, limits=limits) as (pool, server):
        for number, (faults, is_action) in enumerate(steps):
            server.listener.obey(faults)
            sub_request = replace(
                ACTION_SUB_REQUEST if is_action else SEARCH_SUB_REQUEST,
                call='c-{0}'.format(number),
            )
            outcome = await pool.attempt(sub_request, now_ms() + 20)
            events = [
                sighting.event
                for sighting in server.state.witness.sightings
                if sighting.call == sub_request.call
            ]
            if outcome.verdict.run is Run.NOT_RUN:
                assert 'start' not in events
            if outcome.verdict.run is Run.RAN:
                assert 'run' in events
            if is_action:
                assert events.count('start') <= 1
