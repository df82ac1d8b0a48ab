"""Servers that say in their replies that they are leaving (DRAIN)."""

import asyncio
import time
from dataclasses import replace
from random import Random

import httpx
import pytest

from dandelionstage.catalog.leaving_servers import LeavingServers
from dandelionstage.catalog.servers import ServerRecord, ServerState
from dandelionstage.gateway.reply_reader import ReplyReader
from tools.standins.platform.server import ServerMode
from tools.standins.platform.store import StoreMode

from .gateway_harness import HEADER_NAMES
from .test_platform_nodes import list_runs, request_path, running

LEAVING = 'i-1'
KEY = 'servers/i-1'
#: Requests of one VM at a time that no server gets all of.
AT_A_TIME = 10
#: Replies that are on their way when the first one arrives.
IN_FLIGHT_S = 0.1
#: ``drainMs``.
DRAIN_S = 3
#: A query has this target; one that lacks a shard does not wait for it.
TARGET_S = 0.3
RECORD = ServerRecord(
    server='i-1',
    service='s',
    host='127.0.0.1',
    port=1,
    data_centre='here',
    slots=2,
    state=ServerState.LIVE,
    started_ms=7,
)


async def send_all(nodes, count, path='/q/x', method='GET'):
    """Send requests to each VM at a time; return the answers."""
    async with httpx.AsyncClient(timeout=10, trust_env=False) as client:
        calls = [
            request_path(node, path, client, method=method)
            for node in nodes
            for _ in range(count)
        ]
        return await asyncio.gather(*calls)


async def learn(platform, nodes):
    """Let the leaving server tell a VM.

    A VM that has one request at a time may stay with another server; of
    several at a time, both servers get some.
    """
    await send_all(nodes[:1], AT_A_TIME)
    await asyncio.sleep(IN_FLIGHT_S)
    assert platform.servers[LEAVING].arrivals


@pytest.mark.parametrize(
    'mode', [ServerMode.WELL, ServerMode.FAIL, ServerMode.SHED]
)
def test_leaving_server_gets_nothing_more_while_it_is_listed(tmp_path, mode):
    """The list says that it is ready, and the store is away."""

    async def scenario():
        async with running(tmp_path, 120) as (platform, nodes):
            server = platform.servers[LEAVING]
            platform.store.mode = StoreMode.SILENT
            server.mode = mode
            server.is_leaving = True
            await learn(platform, nodes)
            arrivals = server.arrivals
            answers = await send_all(nodes, 30)
            assert server.arrivals == arrivals
            assert {answer.status_code for answer in answers} == {200}
            kinds = [line['event'] for line in platform.lines['front-a-0']]
            assert kinds.count('server_leaving') == 1

    asyncio.run(scenario())


@pytest.mark.parametrize('vms', [2, 3, 12])
def test_other_vms_are_told_of_a_leaving_server(tmp_path, vms):
    async def scenario():
        async with running(tmp_path, 120 + vms, vms=vms) as (platform, nodes):
            server = platform.servers[LEAVING]
            server.is_leaving = True
            await learn(platform, nodes)
            await asyncio.sleep(DRAIN_S / 2)
            arrivals = server.arrivals
            await send_all(nodes, 5)
            assert server.arrivals == arrivals

    asyncio.run(scenario())


def test_only_a_later_start_of_a_leaving_server_is_used(tmp_path):
    async def scenario():
        async with running(tmp_path, 140) as (platform, nodes):
            server = platform.servers[LEAVING]
            server.is_leaving = True
            await learn(platform, nodes)
            arrivals = server.arrivals
            platform.store.put(KEY, server.entry('s1', 'a', seq=2))
            await asyncio.sleep(1)
            await send_all(nodes, 20)
            assert server.arrivals == arrivals
            server.is_leaving = False
            platform.store.put(KEY, server.entry('s1', 'a', born=2))
            await asyncio.sleep(1)
            await send_all(nodes, 20)
            assert server.arrivals > arrivals

    asyncio.run(scenario())


def test_query_lacks_a_shard_at_once_if_its_last_server_leaves(tmp_path):
    async def scenario():
        async with running(tmp_path, 141) as (platform, nodes):
            for name in ('i-1', 'i-2'):
                platform.servers[name].is_leaving = True
            await send_all(nodes, 10)
            await asyncio.sleep(IN_FLIGHT_S)
            begin_s = time.monotonic()
            answer = await request_path(nodes[0], '/q/x')
            assert time.monotonic() - begin_s < TARGET_S
            assert answer.status_code == 200
            assert answer.headers['x-missing-parts'] == '1'

    asyncio.run(scenario())


def test_order_goes_to_another_server_once_one_is_leaving(tmp_path):
    async def scenario():
        async with running(tmp_path, 142) as (platform, nodes):
            leaving = platform.servers['i-9']
            leaving.is_leaving = True
            leaving.mode = ServerMode.SHED
            answers = await send_all(nodes, AT_A_TIME, '/o/x', 'POST')
            arrivals = leaving.arrivals
            assert arrivals
            answers += await send_all(nodes, AT_A_TIME, '/o/x', 'POST')
            assert {answer.status_code for answer in answers} == {200}
            assert leaving.arrivals == arrivals
            # The orders that the leaving server refused have run elsewhere.
            assert len(list_runs(platform)) == len(answers)

    asyncio.run(scenario())


def test_another_server_at_the_address_is_not_taken_for_leaving(tmp_path):
    async def scenario():
        async with running(tmp_path, 143) as (platform, nodes):
            other = platform.servers[LEAVING]
            other.server = 'i-99'
            other.is_leaving = True
            await send_all(nodes, 10)
            assert other.arrivals
            kinds = [line['event'] for line in platform.lines['front-a-0']]
            assert 'server_leaving' not in kinds
            assert 'server_replaced' in kinds

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('header', 'is_leaving'),
    [
        (b'x-leaving: 1\r\n', True),
        (b'X-Leaving:  1 \r\n', True),
        (b'x-leaving: 0\r\n', False),
        (b'x-leaving: \r\n', False),
        (b'x-leaving: soon\r\n', False),
        (b'', False),
    ],
)
def test_header_of_a_leaving_server_is_read(header, is_leaving):
    replies = []
    reader = ReplyReader(HEADER_NAMES, lambda _, reply: replies.append(reply))
    reader.feed(
        b'HTTP/1.1 500 No\r\nx-id: r1\r\n%bcontent-length: 0\r\n\r\n' % header
    )
    assert [reply.is_leaving for reply in replies] == [is_leaving]


def test_published_state_does_not_outweigh_a_statement():
    leaving = LeavingServers()
    assert leaving.add(RECORD.start)
    assert not leaving.add(RECORD.start)
    newer = replace(RECORD, sequence=9)
    assert leaving.applied_to(newer).state is ServerState.DRAINING
    restarted = replace(RECORD, started_ms=8)
    assert leaving.applied_to(restarted) is restarted


def test_listed_servers_alone_are_reported():
    leaving = LeavingServers()
    listed = {RECORD.server: RECORD}
    leaving.add(RECORD.start)
    leaving.add(('i-2', 1))
    assert leaving.choose_reports(listed, Random(1)) == [RECORD.start]
    draining = replace(RECORD, state=ServerState.DRAINING)
    assert not leaving.choose_reports({RECORD.server: draining}, Random(1))
    many = {
        'i-{0}'.format(number): replace(RECORD, server='i-{0}'.format(number))
        for number in range(100)
    }
    for record in many.values():
        leaving.add(record.start)
    assert len(leaving.choose_reports(many, Random(1))) == 12


def test_report_is_passed_on_once():
    told = []
    leaving = LeavingServers()
    leaving.on_told = told.append
    leaving.apply_reports([RECORD.start, ('i-2', 3)])
    leaving.apply_reports([RECORD.start])
    assert told == [RECORD.start, ('i-2', 3)]


def test_number_of_remembered_servers_is_bounded():
    leaving = LeavingServers()
    for number in range(5000):
        leaving.add(('i', number))
    assert ('i', 0) not in leaving
    assert ('i', 4999) in leaving
