"""Servers that ask in a refusal to be sent nothing for a time (BUDGET)."""

import asyncio

import httpx
import pytest

from dandelionstage.gateway.clock import now_ms
from dandelionstage.gateway.gather_run import GatherRun
from dandelionstage.gateway.reply_reader import ReplyReader
from dandelionstage.gateway.single_run import SingleRun
from dandelionstage.placing.quiet_servers import QuietServers
from dandelionstage.placing.send_limit import SendLimit
from tools.standins.platform.server import ServerMode

from .gateway_harness import (
    HEADER_NAMES,
    GatewayHarness,
    gather_route,
    make_request,
    shed_reply,
    single_route,
)
from .test_platform_nodes import request_path, running

QUIET_S = 2
#: Requests that were on their way when a server asked for quiet.
IN_FLIGHT_MS = 500
#: More of them than this, from one VM, break the rule.
MOST_IN_FLIGHT = 2
START = ('i-1', 7)
#: Queries of one VM at a time that no replica gets all of.
AT_A_TIME = 10


async def send_queries(nodes, until_ms, gap_s):
    """Send queries to each VM, some at a time, then one after the other.

    A VM that has one query at a time may stay with one replica.

    :returns: the answers.
    """
    async with httpx.AsyncClient(timeout=10, trust_env=False) as client:
        calls = [
            asyncio.create_task(request_path(node, '/q/x', client))
            for node in nodes
            for _ in range(AT_A_TIME)
        ]
        while now_ms() < until_ms:
            for node in nodes:
                call = request_path(node, '/q/x', client)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(gap_s)
        return await asyncio.gather(*calls)


def count_in_quiet(server):
    """Return the most requests that came late in a quiet time."""
    times = [at_ms for at_ms, _ in server.arrived]
    return max(
        sum(IN_FLIGHT_MS < at_ms - start_ms < QUIET_S * 1000 for at_ms in times)
        for start_ms in times
    )


@pytest.mark.parametrize('vms', [1, 2])
def test_server_gets_nothing_in_its_quiet_time(tmp_path, vms):
    """One replica of a shard asks for quiet; the other answers."""

    async def scenario():
        async with running(tmp_path, 150 + vms, vms=vms) as (platform, nodes):
            server = platform.servers['i-1']
            server.mode = ServerMode.SHED
            server.quiet_s = str(QUIET_S)
            end_ms = now_ms() + 3000 * QUIET_S
            answers = await send_queries(nodes, end_ms, 0.02)
            assert {answer.status_code for answer in answers} == {200}
            assert server.arrivals
            assert count_in_quiet(server) <= MOST_IN_FLIGHT * vms
            lines = [line for own in platform.lines.values() for line in own]
            assert 'server_quiet' in {line['event'] for line in lines}

    asyncio.run(scenario())


@pytest.mark.parametrize('path', ['/q/x', '/o/x'])
def test_request_is_rejected_at_once_if_all_replicas_ask_for_quiet(
    tmp_path, path
):
    async def scenario():
        async with running(tmp_path, 155) as (platform, (node,)):
            for server in platform.servers.values():
                server.mode = ServerMode.SHED
                server.quiet_s = str(QUIET_S)
            # The first ones find out.
            for _ in range(2):
                await request_path(node, path)
            arrivals = sum(each.arrivals for each in platform.servers.values())
            begin_ms = now_ms()
            answer = await request_path(node, path)
            assert now_ms() - begin_ms < 100
            assert answer.status_code == 503
            left_s = float(answer.headers['retry-after'])
            assert QUIET_S - 1 < left_s < QUIET_S + 1
            assert arrivals == sum(
                each.arrivals for each in platform.servers.values()
            )
            # The delay is true: a request after it is served.
            for server in platform.servers.values():
                server.mode = ServerMode.WELL
            await asyncio.sleep(left_s)
            answer = await request_path(node, path)
            assert answer.status_code == 200

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('header', 'quiet_ms'),
    [
        (b'2', 2000),
        (b' 0.25 ', 250),
        (b'.5', 500),
        (b'0', 0),
        (b'0.0', 0),
        (b'-3', 0),
        (b'soon', 0),
        (b'', 0),
        (b'nan', 0),
        (b'1e3', 0),
        (b'Mon, 07 Dec 2026 01:00:00 GMT', 0),
        (b'999999999', 3_600_000),
        (b'9' * 400, 0),
    ],
)
def test_delay_that_a_server_asks_for_is_read(header, quiet_ms):
    replies = []
    reader = ReplyReader(HEADER_NAMES, lambda _, reply: replies.append(reply))
    reader.feed(
        b'HTTP/1.1 503 No\r\nx-id: r1\r\nretry-after: %b\r\n'
        b'content-length: 0\r\n\r\n' % header
    )
    assert [reply.quiet_ms for reply in replies] == [quiet_ms]


@pytest.mark.parametrize('status', [200, 301, 429, 500, 504])
def test_delay_in_another_reply_asks_for_no_quiet(status):
    replies = []
    reader = ReplyReader(HEADER_NAMES, lambda _, reply: replies.append(reply))
    reader.feed(
        b'HTTP/1.1 %d No\r\nx-id: r1\r\nretry-after: 2\r\n'
        b'content-length: 0\r\n\r\n' % status
    )
    assert [reply.quiet_ms for reply in replies] == [0]


def test_requests_return_step_by_step_after_a_quiet_time():
    limit = SendLimit()
    limit.rest(1000)
    assert limit.is_refused(999)
    assert limit.quiet_left_ms(400) == 600
    assert not limit.is_refused(1000)
    assert limit.is_refused(1000, 1)
    assert not limit.is_refused(1350, 3)
    assert limit.is_refused(1350, 4)
    assert not limit.is_refused(2000, 50)
    assert not limit.quiet_left_ms(1000)


def test_quiet_time_outlasts_a_limit_that_ends():
    limit = SendLimit()
    limit.rest(1000)
    limit.rest(500)
    limit.change(5)
    limit.add(3, 9000)
    limit.change(0)
    assert limit.is_refused(999)


def test_quiet_time_is_kept_for_the_same_start_only():
    quiet = QuietServers()
    assert quiet.add(START, 1000) == float('inf')
    assert quiet.add(START, 900) == 0
    assert quiet.add(START, 1200) == 200
    assert quiet.until_ms(START) == 1200
    assert quiet.until_ms(('i-1', 8)) == float('-inf')


def test_number_of_quiet_servers_is_bounded():
    quiet = QuietServers()
    for number in range(5000):
        quiet.add(('i', number), 1)
    assert quiet.until_ms(('i', 0)) == float('-inf')
    assert quiet.until_ms(('i', 4999)) == 1


def rest(harness, service, until_ms):
    for replica in harness.replicas.for_service(service):
        replica.pool.limit.rest(until_ms)


def test_order_is_rejected_with_the_time_that_is_left():
    harness = GatewayHarness({'s': 2})
    rest(harness, 's', 4000)
    harness.start(SingleRun, single_route(), make_request(time_left_ms=6000))
    assert [answer.status for answer in harness.answers] == [503]
    assert not harness.submitted('s')
    retry_after_s = float(dict(harness.answers[0].headers)[b'retry-after'])
    assert 4 <= retry_after_s < 5


def test_query_whose_servers_begin_to_ask_for_quiet_ends_at_once():
    """Its last refusals came while it was in progress."""
    harness = GatewayHarness({'s0': 1, 's1': 1})
    route = gather_route(('s0', 's1'))
    harness.start(GatherRun, route, make_request())
    for service in ('s0', 's1'):
        rest(harness, service, 3000)
        harness.pending(service)[0].end(shed_reply())
    answer = harness.answers[0]
    assert answer.status == 503
    assert float(dict(answer.headers)[b'retry-after']) >= 3
    assert harness.timers.now_ms == 0


def test_query_uses_the_replica_that_asks_for_nothing():
    harness = GatewayHarness({'s0': 2, 's1': 2})
    for service in ('s0', 's1'):
        replica = harness.replicas.for_service(service)[0]
        replica.pool.limit.rest(60_000)
    harness.start(GatherRun, gather_route(('s0', 's1')), make_request())
    harness.timers.advance(90)
    attempts = [*harness.submitted('s0'), *harness.submitted('s1')]
    chosen = {attempt.server for attempt in attempts}
    assert chosen == {'s0-1', 's1-1'}
