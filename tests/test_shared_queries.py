"""Queries over many shards, shared between VMs: real sockets, one process."""

import asyncio
import itertools
from contextlib import asynccontextmanager
from types import MappingProxyType

import httpx
import pytest

from dandelionstage.relaying import relay_vm
from tools.standins.platform.place import FRONT_PORT, Platform

SHARDS = tuple('s{0}'.format(number) for number in range(45))
QUERY = MappingProxyType(
    {
        'name': 'q',
        'host': 'h.example',
        'prefix': '/q/',
        'routeType': 'safe',
        'timeoutMs': 3000,
        'targetLatencyMs': 1000,
        'priority': 1,
        'attempts': 2,
        'gather': list(SHARDS),
        'topK': 3,
        'minCoverage': 0.9,
    }
)
_ids = itertools.count(1)


@asynccontextmanager
async def running(tmp_path, seed, vms=4):
    async with Platform(seed, tmp_path) as platform:
        platform.plan_hosts(vms)
        for service in SHARDS:
            await platform.add_server(service)
        platform.publish(1, [QUERY])
        nodes = [await platform.start_node(each) for each in range(vms)]
        await platform.until(lambda: all(map(knows_all, nodes)))
        yield platform, nodes


def knows_all(node):
    near = node._list_local_vms()
    return node._sources.catalog.usable and len(near) == 3


async def ask(node):
    host = node._settings_file.settings.ip
    async with httpx.AsyncClient(trust_env=False) as client:
        return await client.get(
            'http://{0}:{1}/q/x'.format(host, FRONT_PORT),
            headers={
                'host': 'h.example',
                'x-request-id': 'r{0}'.format(next(_ids)),
                'x-request-deadline': '3000',
            },
        )


def is_whole(reply):
    stamps = reply.headers['x-part-stamps'].split(',')
    assert len(set(stamps)) == len(stamps)
    return reply.status_code == 200 and len(stamps) == len(SHARDS)


def ports_of(nodes):
    return [node._relay_listener for node in nodes]


def events(platform, kind):
    return [
        line
        for lines in platform.lines.values()
        for line in lines
        if line['event'] == kind
    ]


def runs_out(nodes):
    return sum(len(port._runs) for port in ports_of(nodes))


def asked_counts(platform):
    return [len(server.runs) for server in platform.servers.values()]


@pytest.fixture
def patient(monkeypatch):
    """A busy test machine is no failed VM."""
    monkeypatch.setattr(relay_vm, '_TAKEN_LEAST_MS', 2000.0)
    monkeypatch.setattr(relay_vm, '_TAKEN_MOST_MS', 2000.0)


@pytest.mark.usefixtures('patient')
def test_other_vms_ask_and_the_answer_is_whole(tmp_path):
    async def check():
        async with running(tmp_path, 71) as (platform, nodes):
            assert is_whole(await ask(nodes[0]))
            shared = events(platform, 'query_shared')
            assert len(shared) == 1
            assert len(shared[0]['relays']) >= 2
            assert set(asked_counts(platform)) == {1}
            await platform.until(lambda: not runs_out(nodes))

    asyncio.run(check())


@pytest.mark.usefixtures('patient')
def test_a_vm_that_leaves_refuses_and_nothing_is_asked_twice(tmp_path):
    async def check():
        async with running(tmp_path, 72) as (platform, nodes):
            for node in nodes[1:]:
                node._shutdown.begin()
            assert is_whole(await ask(nodes[0]))
            assert events(platform, 'relay_refused')
            assert set(asked_counts(platform)) == {1}

    asyncio.run(check())


@pytest.mark.usefixtures('patient')
def test_a_vm_that_cannot_be_reached_costs_no_extra_attempt(tmp_path):
    async def check():
        async with running(tmp_path, 73) as (platform, nodes):
            for node in nodes[1:]:
                await node._relay_listener.__aexit__(None, None, None)
            assert is_whole(await ask(nodes[0]))
            assert events(platform, 'relay_failed')
            assert set(asked_counts(platform)) == {1}

    asyncio.run(check())


def test_a_vm_that_says_nothing_is_passed_over(tmp_path, monkeypatch):
    # Longer than the test may take on a busy machine.
    monkeypatch.setattr(relay_vm, '_AVOIDED_MS', 60_000.0)

    async def check():
        async with running(tmp_path, 74) as (platform, nodes):
            for port in ports_of(nodes[1:]):
                # It accepts connections and reads nothing of them.
                monkeypatch.setattr(port, '_start', lambda link, ask: None)
            assert is_whole(await ask(nodes[0]))
            failures = events(platform, 'relay_failed')
            assert {line['reason'] for line in failures} == {'silent'}
            first = len(failures)
            assert is_whole(await ask(nodes[0]))
            assert len(events(platform, 'relay_failed')) == first

    asyncio.run(check())


@pytest.mark.usefixtures('patient')
def test_a_caller_that_leaves_ends_the_work_on_other_vms(tmp_path):
    async def check():
        async with running(tmp_path, 75) as (platform, nodes):
            for server in platform.servers.values():
                server.work_ms = 1500
            asking = asyncio.ensure_future(ask(nodes[0]))
            await platform.until(lambda: runs_out(nodes) >= 2)
            asking.cancel()
            await platform.until(lambda: not runs_out(nodes))

    asyncio.run(check())
