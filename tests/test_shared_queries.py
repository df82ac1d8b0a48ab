"""Large queries relayed between VMs over real sockets in one process."""

import asyncio
import itertools
from contextlib import asynccontextmanager
from dataclasses import replace
from types import MappingProxyType

import httpx
import pytest

from dandelionstage.gateway.gather_run import GatherRun
from dandelionstage.relaying import relay_vm
from dandelionstage.relaying.messages import Part, PartsReport
from tools.standins.platform.place import FRONT_PORT, Platform

from .gateway_harness import GatewayHarness, gather_route, make_request

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
        await platform.until(lambda: all(map(has_full_view, nodes)))
        yield platform, nodes


def has_full_view(node):
    neighbours = node._list_local_vms()
    return node._sources.catalog.usable and len(neighbours) == 3


async def send_query(node):
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


def is_complete(reply):
    stamps = reply.headers['x-part-stamps'].split(',')
    assert len(set(stamps)) == len(stamps)
    return reply.status_code == 200 and len(stamps) == len(SHARDS)


def relay_listeners_of(nodes):
    return [node._relay_listener for node in nodes]


def events(platform, kind):
    return [
        line
        for lines in platform.lines.values()
        for line in lines
        if line['event'] == kind
    ]


def pending_runs(nodes):
    return sum(len(listener._runs) for listener in relay_listeners_of(nodes))


def requests_per_server(platform):
    return [len(server.runs) for server in platform.servers.values()]


@pytest.fixture
def long_accept_timeout(monkeypatch):
    """Raise the time limit so that a busy test machine does not exceed it."""
    monkeypatch.setattr(relay_vm, '_MIN_ACCEPT_MS', 2000.0)
    monkeypatch.setattr(relay_vm, '_MAX_ACCEPT_MS', 2000.0)


@pytest.mark.usefixtures('long_accept_timeout')
def test_relayed_query_gets_a_complete_answer(tmp_path):
    async def check():
        async with running(tmp_path, 71) as (platform, nodes):
            assert is_complete(await send_query(nodes[0]))
            shared = events(platform, 'query_shared')
            assert len(shared) == 1
            assert len(shared[0]['relays']) >= 2
            assert set(requests_per_server(platform)) == {1}
            await platform.until(lambda: not pending_runs(nodes))

    asyncio.run(check())


@pytest.mark.usefixtures('long_accept_timeout')
def test_servers_that_leave_in_relayed_parts_get_nothing_more(tmp_path):
    """DRAIN: the VM that passes the answer on has not asked them itself."""

    async def check():
        async with running(tmp_path, 75) as (platform, nodes):
            for server in tuple(platform.servers.values())[:40]:
                server.is_leaving = True
            assert is_complete(await send_query(nodes[0]))
            assert len(events(platform, 'query_shared')[0]['relays']) >= 2
            # Relays tell the other VMs, and this one, in their next hellos.
            await platform.until(
                lambda: len(events(platform, 'server_leaving')) == 40 * 4
            )
            reply = await send_query(nodes[0])
            assert reply.status_code == 503
            assert sum(requests_per_server(platform)) == len(SHARDS)

    asyncio.run(check())


@pytest.mark.usefixtures('long_accept_timeout')
def test_stopping_vm_refuses_and_no_server_gets_two_requests(tmp_path):
    async def check():
        async with running(tmp_path, 72) as (platform, nodes):
            for node in nodes[1:]:
                node._shutdown.begin()
            assert is_complete(await send_query(nodes[0]))
            assert events(platform, 'relay_refused')
            assert set(requests_per_server(platform)) == {1}

    asyncio.run(check())


@pytest.mark.usefixtures('long_accept_timeout')
def test_unreachable_vm_costs_no_extra_attempt(tmp_path):
    async def check():
        async with running(tmp_path, 73) as (platform, nodes):
            for node in nodes[1:]:
                await node._relay_listener.__aexit__(None, None, None)
            assert is_complete(await send_query(nodes[0]))
            assert events(platform, 'relay_failed')
            assert set(requests_per_server(platform)) == {1}

    asyncio.run(check())


def test_silent_vm_is_avoided(tmp_path, monkeypatch):
    # Longer than this test takes on a busy machine.
    monkeypatch.setattr(relay_vm, '_AVOIDED_MS', 60_000.0)
    asked = []

    def note(connection, request):
        asked.append(request)

    async def check():
        async with running(tmp_path, 74) as (platform, nodes):
            for listener in relay_listeners_of(nodes[1:]):
                # It accepts connections but ignores all requests.
                monkeypatch.setattr(listener, '_start', note)
            assert is_complete(await send_query(nodes[0]))
            failures = events(platform, 'relay_failed')
            assert {line['reason'] for line in failures} == {'silent'}
            first = len(asked)
            assert first
            assert is_complete(await send_query(nodes[0]))
            assert len(asked) == first

    asyncio.run(check())


@pytest.mark.usefixtures('long_accept_timeout')
def test_disconnected_caller_ends_the_work_on_other_vms(tmp_path):
    async def check():
        async with running(tmp_path, 75) as (platform, nodes):
            for server in platform.servers.values():
                server.work_ms = 1500
            query = asyncio.ensure_future(send_query(nodes[0]))
            await platform.until(lambda: pending_runs(nodes) >= 2)
            query.cancel()
            await platform.until(lambda: not pending_runs(nodes))

    asyncio.run(check())


@pytest.mark.parametrize('is_late', [False, True])
def test_answer_names_all_merged_parts_of_a_report_or_none(is_late):
    """Guards against an answer made of the first part of a late report."""
    harness = GatewayHarness({})
    route = gather_route(('s0', 's1'), least_coverage=0.5)
    relay = FakeRelay()
    harness.context = replace(harness.context, relays=relay)
    run = harness.start(GatherRun, route, make_request())
    if is_late:
        run._shards.is_past_target = True
    pending = relay_vm._PendingQuery(0, relay.query)
    parts = [
        Part('s0', 'stamp-0', b''),
        Part('s1', 'stamp-1', b'9' * 16),
    ]
    pending.apply_report(PartsReport(0, parts, {}, True, True, (), True))
    assert len(harness.answers) == 1
    answer = harness.answers[0]
    headers = dict(answer.headers)
    assert headers[b'x-parts'] == b'stamp-0, stamp-1'
    assert answer.body == b'9' * 16


class FakeRelay:
    """A relay, and the relays that a query is assigned to."""

    vm = '10.0.0.9:1'

    def __init__(self):
        self.query = None

    def assign_shards(self, shards):
        return [(self, shards)]

    def send_query(self, query):
        self.query = query

    def cancel_query(self, query):
        """Do nothing."""
