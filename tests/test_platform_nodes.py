"""Gateways answer and agree during faults of servers, store and settings.

They run in one process, on real sockets and a simulated platform.
"""

import asyncio
import itertools
import time
from contextlib import asynccontextmanager
from types import MappingProxyType

import httpx
import pytest
from prometheus_client.parser import text_string_to_metric_families

from dandelionstage.gateway.shutdown import ShutdownLimits
from dandelionstage.platform.names import METRICS_PORT
from tools.standins.platform.place import FRONT_PORT, READY_PORT, Platform
from tools.standins.platform.server import ServerMode
from tools.standins.platform.store import StoreMode

_ids = itertools.count(1)
#: Grace period in the settings, from the stop signal to the kill.
GRACE_S = 6
#: Servers may work on for this long after a caller has gone, and the stand-in
#: notices.
CALLER_GONE_S = 0.5
SHARDS = ('s1', 's2', 's3', 's4')
QUERY = MappingProxyType(
    {
        'name': 'q',
        'host': 'h.example',
        'prefix': '/q/',
        'routeType': 'safe',
        'timeoutMs': 1500,
        'targetLatencyMs': 300,
        'priority': 1,
        'attempts': 2,
        'gather': list(SHARDS),
        'topK': 3,
        'minCoverage': 0.75,
    }
)
ORDER = MappingProxyType(
    {
        'name': 'o',
        'host': 'h.example',
        'prefix': '/o/',
        'routeType': 'unsafe',
        'timeoutMs': 2000,
        'targetLatencyMs': 400,
        'priority': 2,
        'attempts': 2,
        'service': 'orders',
    }
)
LOOKUP = MappingProxyType(
    {**ORDER, 'name': 'l', 'prefix': '/l/', 'routeType': 'safe'}
)


@asynccontextmanager
async def running(tmp_path, seed, vms=1, replicas=2, zones=('a',)):
    async with Platform(seed, tmp_path) as platform:
        platform.plan_hosts(vms)
        for service in (*SHARDS, 'orders'):
            for number in range(replicas):
                zone = zones[number % len(zones)]
                await platform.add_server(service, zone)
        platform.publish(3, [QUERY, ORDER])
        nodes = [await platform.start_node(each) for each in range(vms)]
        await platform.until(lambda: all(map(is_usable, nodes)))
        yield platform, nodes


def is_usable(node):
    return node._sources.catalog.usable


def version_at(node):
    routes = node._sources.catalog.routes
    return routes.version if routes else 0


def url(node, path, port=FRONT_PORT):
    host = node._settings_file.settings.ip
    return 'http://{0}:{1}{2}'.format(host, port, path)


async def request_path(node, path, client=None, *, left_ms=1500, **more):
    request_id = 'r{0}'.format(next(_ids))
    headers = {
        'Host': 'h.example',
        'X-Request-Id': request_id,
        'X-Request-Deadline': str(left_ms),
    }
    terms = {'method': 'GET', 'url': url(node, path), **more}
    if client is not None:
        return await client.request(headers=headers, **terms)
    # Creating a client stalls the process, which the VMs share, for long.
    async with httpx.AsyncClient(timeout=10, trust_env=False) as own:
        return await own.request(headers=headers, **terms)


def list_runs(platform, request_id=None):
    return [
        run
        for server in platform.servers.values()
        for run in server.runs
        if request_id in {None, run.request}
    ]


def test_query_and_order_are_answered(tmp_path):
    async def scenario():
        async with running(tmp_path, 1) as (platform, (node,)):
            answer = await request_path(node, '/q/x?y=1')
            assert answer.status_code == 200
            assert answer.headers['x-missing-parts'] == '0'
            assert len(answer.headers['x-part-stamps'].split(',')) == 4
            # Three records (topK) of 16 bytes.
            assert len(answer.content) == 48
            body = b'blank' * 20
            order = await request_path(
                node, '/o/x', method='POST', content=body
            )
            assert order.status_code == 200
            run = next(
                each for each in list_runs(platform) if each.method == 'POST'
            )
            assert (run.target, run.body) == ('/o/x', body)
            assert 1000 < run.time_left_ms <= 1500

    asyncio.run(scenario())


def test_connections_are_kept_on_both_sides(tmp_path):
    async def scenario():
        async with running(tmp_path, 2, replicas=1) as (platform, (node,)):
            async with httpx.AsyncClient(trust_env=False) as client:
                for _ in range(30):
                    answer = await request_path(node, '/q/x', client)
                    assert answer.status_code == 200
            accepted = sum(
                server.port.accepted for server in platform.servers.values()
            )
            assert accepted <= len(SHARDS) * 2

    asyncio.run(scenario())


def test_dead_shard_is_omitted_and_reported(tmp_path):
    async def scenario():
        async with running(tmp_path, 3) as (platform, (node,)):
            for server in platform.servers.values():
                if server.runs or server.server in {'i-1', 'i-2'}:
                    server.mode = ServerMode.MUTE
            answer = await request_path(node, '/q/x')
            assert answer.status_code == 200
            assert answer.headers['x-missing-parts'] == '1'

    asyncio.run(scenario())


@pytest.mark.parametrize('mode', [ServerMode.LOSE, ServerMode.FAIL])
def test_order_that_ran_is_not_repeated(tmp_path, mode):
    async def scenario():
        async with running(tmp_path, 4) as (platform, (node,)):
            for server in platform.servers.values():
                server.mode = mode
            order = await request_path(
                node, '/o/x', method='POST', content=b'b'
            )
            assert order.status_code in {500, 502}
            assert len(list_runs(platform)) == 1

    asyncio.run(scenario())


def test_order_refused_by_all_servers_has_not_run(tmp_path):
    async def scenario():
        async with running(tmp_path, 5) as (platform, (node,)):
            for server in platform.servers.values():
                server.mode = ServerMode.SHED
            order = await request_path(
                node, '/o/x', method='POST', content=b'b'
            )
            assert order.status_code == 503
            assert float(order.headers['retry-after']) > 0
            assert not list_runs(platform)

    asyncio.run(scenario())


def test_mismatched_answer_is_never_sent_to_a_caller(tmp_path):
    async def scenario():
        async with running(tmp_path, 6) as (platform, (node,)):
            for server in platform.servers.values():
                server.mode = ServerMode.STRAY
            for _ in range(5):
                answer = await request_path(node, '/q/x')
                assert answer.status_code == 200
                # The only record of an answer to another request.
                assert b'x' * 16 not in answer.content

    asyncio.run(scenario())


@pytest.mark.parametrize('path', ['/q/x', '/l/x'])
def test_servers_stop_work_when_the_caller_disconnects(tmp_path, path):
    """Servers stop within 0.5 s of the disconnect."""

    async def scenario():
        async with running(tmp_path, 7) as (platform, (node,)):
            platform.publish(4, [QUERY, LOOKUP])
            await platform.until(lambda: version_at(node) == 4)
            servers = platform.servers.values()
            for slow in servers:
                slow.work_ms = 5000
            pending_request = asyncio.create_task(
                request_path(node, path, left_ms=30000)
            )
            await platform.until(lambda: list_runs(platform))
            pending_request.cancel()
            await platform.until(
                lambda: not any(server.at_work for server in servers),
                timeout_s=0.5,
            )

    asyncio.run(scenario())


def test_vms_share_changes_with_few_reads_of_the_store(tmp_path):
    async def scenario():
        async with running(tmp_path, 8, vms=6) as (platform, nodes):
            await platform.until(
                lambda: all(
                    len(node._sources.spread.members) == 6 for node in nodes
                )
            )
            await asyncio.sleep(1)
            before = dict(platform.store.calls)
            platform.publish(4, [QUERY])
            await platform.until(
                lambda: all(version_at(node) == 4 for node in nodes),
                timeout_s=2,
            )
            reads = sum(platform.store.calls.values()) - sum(before.values())
            assert reads <= 8

    asyncio.run(scenario())


def test_process_started_without_the_store_reads_from_peers(tmp_path):
    async def scenario():
        async with running(tmp_path, 9, vms=1) as (platform, (node,)):
            platform.plan_hosts(2)
            platform.store.mode = StoreMode.SILENT
            platform.store.cut_all()
            late = await platform.start_node(1)
            await platform.until(lambda: is_usable(late), timeout_s=2)
            assert version_at(late) == version_at(node) == 3

    asyncio.run(scenario())


def test_vm_without_store_or_peers_is_not_ready_and_refuses(tmp_path):
    async def scenario():
        async with Platform(10, tmp_path) as platform:
            platform.plan_hosts(1)
            platform.store.mode = StoreMode.RESET
            node = await platform.start_node(0)
            answer = await request_path(node, '/q/x')
            assert answer.status_code == 503
            assert 'retry-after' in answer.headers
            async with httpx.AsyncClient(trust_env=False) as client:
                ready = await client.get(url(node, '/api/ready', READY_PORT))
            assert ready.status_code == 503

    asyncio.run(scenario())


@pytest.mark.parametrize('mode', list(StoreMode)[1:])
def test_store_is_read_again_after_it_recovers(tmp_path, mode):
    async def scenario():
        async with running(tmp_path, 11, vms=2) as (platform, nodes):
            platform.store.mode = mode
            platform.store.cut_all()
            await asyncio.sleep(0.5)
            platform.publish(5, [QUERY])
            platform.store.mode = StoreMode.WELL
            await platform.until(
                lambda: all(version_at(node) == 5 for node in nodes),
                timeout_s=4,
            )

    asyncio.run(scenario())


@pytest.mark.parametrize('history', ['kept', 'gone'])
def test_other_vms_read_a_store_that_is_silent_to_its_readers(
    tmp_path, history
):
    """Changes still reach all VMs if no reader gets an answer.

    First seen as a DRAIN violation in a run of erbovna with
    deploy/days/readers.toml, seed 15001794360; with the history gone, as a
    CONFIG violation in a run of brra-search on scale-2.
    """

    async def scenario():
        async with running(tmp_path, 18, vms=6) as (platform, nodes):
            await platform.until(
                lambda: all(
                    len(node._sources.spread.members) == 6 for node in nodes
                )
            )
            await platform.until(lambda: len(list_readers(nodes)) == 2)
            readers = list_readers(nodes)
            for sources in readers:
                sources._client.watch = wait_forever
            # Watches in progress still return once; later ones never do.
            platform.publish(8, [QUERY])
            await platform.until(
                lambda: all(version_at(node) == 8 for node in nodes)
            )
            platform.publish(9, [QUERY])
            if history == 'gone':
                platform.store.forget_history()
            await platform.until(
                lambda: all(version_at(node) == 9 for node in nodes),
            )

    asyncio.run(scenario())


def list_readers(nodes):
    return [
        node._sources for node in nodes if node._sources._reader._is_reading
    ]


async def wait_forever(after, wait_ms):
    await asyncio.Event().wait()


def test_all_items_are_read_if_the_history_is_gone(tmp_path):
    async def scenario():
        async with running(tmp_path, 12) as (platform, (node,)):
            platform.publish(6, [QUERY])
            platform.store.remove('servers/i-1')
            platform.store.forget_history()
            await platform.until(
                lambda: (
                    version_at(node) == 6
                    and 'i-1' not in node._sources.catalog.servers
                ),
                timeout_s=5,
            )

    asyncio.run(scenario())


def test_draining_server_gets_no_further_requests(tmp_path):
    async def scenario():
        async with running(tmp_path, 13) as (platform, (node,)):
            server = platform.servers['i-1']
            platform.store.put(
                'servers/i-1', server.entry('s1', 'a', state='draining')
            )
            await platform.until(lambda: not node._replicas.replica('i-1'))
            before = server.arrivals
            for _ in range(10):
                assert (await request_path(node, '/q/x')).status_code == 200
            assert server.arrivals == before

    asyncio.run(scenario())


def test_pause_of_the_process_is_logged(tmp_path):
    """The log tells requests that a paused VM held from those it lost."""

    async def scenario():
        async with running(tmp_path, 28) as (platform, _nodes):
            await asyncio.sleep(0.3)
            time.sleep(1)  # noqa: ASYNC251 -- stalls the process
            lines = platform.lines['front-a-0']
            await platform.until(lambda: any(map(is_pause, lines)))
            paused = next(filter(is_pause, lines))
            assert paused['pause_ms'] >= 1000

    asyncio.run(scenario())


def is_pause(line):
    return line['event'] == 'process_paused'


def test_invalid_entries_do_not_affect_valid_ones(tmp_path):
    async def scenario():
        async with running(tmp_path, 14) as (platform, (node,)):
            server = platform.servers['i-1']
            for number, entry in enumerate(
                (
                    b'\xff not json',
                    {'service': 's1'},
                    server.entry('s1', 'a', slots='two'),
                    server.entry('s1', 'a', state='odd'),
                    server.entry('s1', 'a', address='nowhere'),
                ),
            ):
                platform.store.put('servers/bad-{0}'.format(number), entry)
            platform.publish(7, [QUERY])
            await platform.until(lambda: version_at(node) == 7)
            assert len(node._sources.catalog.servers) == 10
            lines = platform.lines['front-a-0']
            unreadable = [
                line['key']
                for line in lines
                if line['event'] == 'entry_unreadable'
            ]
            assert len(unreadable) == 5

    asyncio.run(scenario())


def test_stop_finishes_requests_and_closes_idle_connections(tmp_path):
    async def scenario():
        async with running(tmp_path, 15) as (platform, (node,)):
            for server in platform.servers.values():
                server.work_ms = 200
            async with httpx.AsyncClient(trust_env=False) as client:
                assert (
                    await request_path(node, '/o/x', client)
                ).status_code == 200
                pending_request = asyncio.create_task(
                    request_path(node, '/q/x')
                )
                await platform.until(lambda: node._callers.in_progress == 1)
                node.stop()
                ready = await client.get(url(node, '/api/ready', READY_PORT))
                assert ready.status_code == 503
                kept = await request_path(node, '/o/x', client)
                assert kept.status_code == 200
                assert kept.headers['connection'] == 'close'
                assert (await pending_request).status_code == 200
            await asyncio.wait_for(node.wait_stopped(), GRACE_S)

    asyncio.run(scenario())


@pytest.mark.parametrize('grace_ms', [2000.0, 6000.0, 30000.0])
def test_stop_uses_most_of_the_grace_period_and_ends_within_it(grace_ms):
    limits = ShutdownLimits.within(grace_ms)
    whole_ms = limits.not_ready_ms + limits.draining_ms
    assert grace_ms * 5 / 6 <= whole_ms + 600 <= grace_ms


def test_metrics_are_served_at_the_address_in_the_deploy_file(tmp_path):
    async def scenario():
        async with running(tmp_path, 16) as (platform, (node,)):
            assert (await request_path(node, '/q/x')).status_code == 200
            async with httpx.AsyncClient(trust_env=False) as client:
                shown = await client.get(url(node, '/metrics', METRICS_PORT))
            families = {
                family.name
                for family in text_string_to_metric_families(shown.text)
            }
            assert 'dandelionstage_gateway_latency_ms' in families
            assert 'dandelionstage_gateway_routes_version' in families
            assert 'status="200"' in shown.text
            assert len(list_runs(platform)) == len(SHARDS)

    asyncio.run(scenario())


@pytest.mark.parametrize('leaves', ['drains', 'is removed'])
@pytest.mark.parametrize('path', ['/q/x', '/l/x'])
def test_work_at_a_leaving_server_ends_with_its_caller(tmp_path, leaves, path):
    """Regression: servers worked on for callers that had gone (GONE).

    The server had left the list meanwhile, so the attempt was not cancelled.
    """

    async def scenario():
        async with running(tmp_path, 19, replicas=1) as (platform, (node,)):
            platform.publish(4, [QUERY, ORDER, LOOKUP])
            await platform.until(lambda: version_at(node) == 4)
            name = 'i-1' if path == '/q/x' else 'i-5'
            service = 's1' if path == '/q/x' else 'orders'
            server = platform.servers[name]
            server.work_ms = 4000
            call = asyncio.create_task(request_path(node, path, left_ms=5000))
            await platform.until(lambda: server.at_work)
            key = 'servers/{0}'.format(name)
            if leaves == 'is removed':
                platform.store.remove(key)
            else:
                entry = server.entry(service, 'a', seq=2, state='draining')
                platform.store.put(key, entry)
            await platform.until(lambda: node._replicas.replica(name) is None)
            call.cancel()
            await asyncio.sleep(CALLER_GONE_S)
            assert not server.at_work

    asyncio.run(scenario())


def test_fleets_in_one_folder_have_their_own_settings(tmp_path):
    """Regression: VMs of a test joined another fleet of the same test."""
    fleets = [Platform(seed, tmp_path) for seed in (1, 2)]
    for fleet in fleets:
        fleet.plan_hosts(2)
    paths = {each.write_settings(vm) for each in fleets for vm in (0, 1)}
    assert len(paths) == 4


def test_changed_settings_are_applied_and_invalid_ones_refused(tmp_path):
    async def scenario():
        async with running(tmp_path, 17) as (platform, (node,)):
            path = platform.write_settings(0)
            good = path.read_text()
            path.write_text(good.replace('"graceS": 6', '"graceS": "six"'))
            node.reload()
            assert node._settings_file.settings.bounds.grace_s == GRACE_S
            path.write_text(good.replace('"graceS": 6', '"graceS": 8'))
            node.reload()
            assert node._settings_file.settings.bounds.grace_s == GRACE_S + 2
            events = [line['event'] for line in platform.lines['front-a-0']]
            assert 'settings_refused' in events
            assert 'settings_reloaded' in events

    asyncio.run(scenario())
