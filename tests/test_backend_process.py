"""BackendPool against a backend server that is killed or frozen."""

import json
import signal
from dataclasses import replace

import anyio
import pytest

from dandelionstage.backend.limits import now_ms
from dandelionstage.backend.pool import BackendPool
from dandelionstage.model.topology import BackendServer
from dandelionstage.model.verdict import Reason, Run
from tests.test_action_verdicts import ACTION_SUB_REQUEST
from tools.fleet.clients import BackendControl
from tools.fleet.processes import Process, wait_until

pytestmark = [pytest.mark.process, pytest.mark.anyio]

LETTER = replace(
    ACTION_SUB_REQUEST, query_json='{"action_id": "a-1", "action": 1}'
)


@pytest.fixture
def anyio_backend():
    """Run on the event loop that the product runs on."""
    return ('asyncio', {'use_uvloop': True})


@pytest.fixture
def backend_process(tmp_path):
    """Run a slow backend server as a process of its own."""
    process = Process(
        'backend',
        tmp_path / 'log',
        'tools.standins.backend_server',
        '--port=0',
        '--backend=b-1',
        '--service-ms=300',
    )
    process.start()
    wait_until(lambda: process.log.read_bytes().endswith(b'\n'), process, 10)
    yield process
    process.end()


def port_of(process):
    """Read the port that the process printed."""
    return json.loads(process.log.read_bytes())['ready']['b-1']


def starts(port):
    """List the actions that the server started, by its own log."""
    with BackendControl(port) as control:
        log = control.log()
    return [event['action_id'] for event in log if event['event'] == 'start']


async def until_started(port):
    """Wait until the server has started an action."""
    with anyio.fail_after(10):
        while not await anyio.to_thread.run_sync(starts, port):
            await anyio.sleep(0)


async def attempt(port, time_ms, action=LETTER):
    """Make one attempt at an action."""
    server = BackendServer(
        backend='b-1',
        host='127.0.0.1',
        port=port,
        slots=2,
        max_connections=50,
    )
    async with BackendPool(server, allowance=1) as pool:
        return await pool.attempt(action, now_ms() + time_ms)


async def test_server_killed_while_it_runs_leaves_doubt(backend_process):
    port = port_of(backend_process)
    outcomes = []

    async def keep_outcome():
        outcomes.append(await attempt(port, 9000))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(keep_outcome)
        await until_started(port)
        backend_process.signal(signal.SIGKILL)
    assert outcomes[0].verdict.run is Run.MAY_HAVE_RUN
    assert outcomes[0].verdict.reason is Reason.CONNECTION_LOST


async def test_server_killed_before_the_send_has_not_run(backend_process):
    port = port_of(backend_process)
    backend_process.end()
    outcome = await attempt(port, 9000)
    assert outcome.verdict.run is Run.NOT_RUN
    assert outcome.verdict.reason is Reason.CONNECT_FAILED


async def test_server_frozen_and_woken_runs_an_action_at_most_once(
    backend_process,
):
    port = port_of(backend_process)
    backend_process.signal(signal.SIGSTOP)
    # The kernel takes connections for it meanwhile.
    outcome = await attempt(port, 300)
    assert outcome.verdict.run is Run.MAY_HAVE_RUN
    assert outcome.verdict.reason is Reason.DEADLINE_EXPIRED
    backend_process.signal(signal.SIGCONT)
    other = replace(
        LETTER,
        call='c-2',
        query_json='{"action_id": "a-2", "action": 2}',
    )
    outcome = await attempt(port, 9000, other)
    assert outcome.verdict.run is Run.RAN
    begun = starts(port)
    assert begun.count('a-1') <= 1
    assert begun.count('a-2') == 1
