"""Tests of BackendPool with a server that is killed or paused."""

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

ACTION = replace(
    ACTION_SUB_REQUEST, query_json='{"action_id": "a-1", "action": 1}'
)


@pytest.fixture
def anyio_backend():
    """Use the event loop that the daemon uses."""
    return ('asyncio', {'use_uvloop': True})


@pytest.fixture
def backend_process(tmp_path):
    """Run a slow backend server in a separate process."""
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
    """Return the port that the process printed."""
    return json.loads(process.log.read_bytes())['ready']['b-1']


def list_started_actions(port):
    """List the actions that the server started, from its log."""
    with BackendControl(port) as control:
        log = control.log()
    return [event['action_id'] for event in log if event['event'] == 'start']


async def wait_until_started(port):
    """Wait until the server has started an action."""
    with anyio.fail_after(10):
        while not await anyio.to_thread.run_sync(list_started_actions, port):
            await anyio.sleep(0)


async def attempt(port, timeout_ms, action=ACTION):
    """Make one attempt at an action."""
    server = BackendServer(
        backend='b-1',
        host='127.0.0.1',
        port=port,
        slots=2,
        max_connections=50,
    )
    async with BackendPool(server, allowance=1) as pool:
        return await pool.attempt(action, now_ms() + timeout_ms)


async def test_server_killed_while_running_may_have_run(backend_process):
    """An action that has started is not taken for one that has not run."""
    port = port_of(backend_process)
    outcomes = []

    async def record_outcome():
        outcomes.append(await attempt(port, 9000))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(record_outcome)
        await wait_until_started(port)
        backend_process.signal(signal.SIGKILL)
    assert outcomes[0].verdict.run is Run.MAY_HAVE_RUN
    assert outcomes[0].verdict.reason is Reason.CONNECTION_LOST


async def test_server_killed_before_the_send_has_not_run(backend_process):
    """An action that could not be sent is known not to have run."""
    port = port_of(backend_process)
    backend_process.end()
    outcome = await attempt(port, 9000)
    assert outcome.verdict.run is Run.NOT_RUN
    assert outcome.verdict.reason is Reason.CONNECT_FAILED


async def test_server_paused_and_resumed_runs_an_action_at_most_once(
    backend_process,
):
    port = port_of(backend_process)
    backend_process.signal(signal.SIGSTOP)
    # The kernel accepts connections while the process is stopped.
    outcome = await attempt(port, 300)
    assert outcome.verdict.run is Run.MAY_HAVE_RUN
    assert outcome.verdict.reason is Reason.DEADLINE_EXPIRED
    backend_process.signal(signal.SIGCONT)
    other_sub_request = replace(
        ACTION,
        call='c-2',
        query_json='{"action_id": "a-2", "action": 2}',
    )
    outcome = await attempt(port, 9000, other_sub_request)
    assert outcome.verdict.run is Run.RAN
    started_actions = list_started_actions(port)
    assert started_actions.count('a-1') <= 1
    assert started_actions.count('a-2') == 1
