"""Requests to a server that names a limit on requests from all VMs together."""

import asyncio

import httpx
import pytest

from dandelionstage.gateway.clock import now_ms

from .test_platform_nodes import request_path, running

#: A server gets at most one and a half times its limit, and five requests more,
#: in any window of this length.
WINDOW_MS = 4000
#: VMs have this long to agree after the server first named its limit.
SETTLING_MS = 4000
LIMIT_PER_S = 5.0


def most_arrivals(server, since_ms):
    """Return the largest number of requests in any window after a time."""
    times = [at_ms for at_ms, _ in server.arrived if at_ms >= since_ms]
    return max(
        (
            sum(start <= at_ms < start + WINDOW_MS for at_ms in times)
            for start in times
        ),
        default=0,
    )


async def send_queries(nodes, until_ms, gap_s):
    """Send a query to each VM in turn; return the statuses of the answers."""
    async with httpx.AsyncClient(timeout=10, trust_env=False) as client:
        answers = []
        while now_ms() < until_ms:
            for node in nodes:
                answers.append(
                    asyncio.create_task(request_path(node, '/q/x', client))
                )
                await asyncio.sleep(gap_s)
        return [answer.status_code for answer in await asyncio.gather(*answers)]


@pytest.mark.parametrize('vms', [1, 3])
def test_server_gets_no_more_than_the_limit_that_it_named(tmp_path, vms):
    """Guards against a server in need that gets its usual share of requests."""

    async def scenario():
        async with running(tmp_path, 30 + vms, vms=vms) as (platform, nodes):
            limited = platform.servers['i-1']
            limited.limit_per_s = LIMIT_PER_S
            start_ms = now_ms()
            end_ms = start_ms + SETTLING_MS + WINDOW_MS
            statuses = await send_queries(nodes, end_ms, 0.02)
            allowed = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + 5
            assert most_arrivals(limited, start_ms + SETTLING_MS) <= allowed
            # The other server of the shard gets the rest.
            assert set(statuses) == {200}

    asyncio.run(scenario())


def test_limit_that_ended_is_no_longer_applied(tmp_path):
    """Guards against a server that gets little work long after its need.

    A VM learns of the end from a reply, so it must go on using the server.
    """

    async def scenario():
        async with running(tmp_path, 35, vms=2) as (platform, nodes):
            server = platform.servers['i-1']
            limits = [node._find_pool('i-1').limit for node in nodes]
            server.limit_per_s = LIMIT_PER_S
            await send_queries(nodes, now_ms() + 1500, 0.02)
            assert all(limit.per_s for limit in limits)
            server.limit_per_s = None
            await send_queries(nodes, now_ms() + 1500, 0.02)
            assert not any(limit.per_s for limit in limits)

    asyncio.run(scenario())


@pytest.mark.parametrize('vms', [1, 3])
def test_limit_of_a_server_is_used(tmp_path, vms):
    """Guards against a server that is avoided instead of limited."""

    async def scenario():
        async with running(tmp_path, 30 + vms, vms=vms) as (platform, nodes):
            limited = platform.servers['i-1']
            limited.limit_per_s = LIMIT_PER_S
            end_ms = now_ms() + SETTLING_MS + WINDOW_MS
            await send_queries(nodes, end_ms, 0.02)
            assert limited.arrivals >= LIMIT_PER_S * WINDOW_MS / 1000

    asyncio.run(scenario())


def test_server_gets_its_share_again_after_its_limit_ended(tmp_path):
    """Two equal servers share the queries about equally."""

    async def scenario():
        async with running(tmp_path, 35, vms=2) as (platform, nodes):
            server = platform.servers['i-1']
            other = platform.servers['i-2']
            server.limit_per_s = LIMIT_PER_S
            await send_queries(nodes, now_ms() + 1500, 0.02)
            server.limit_per_s = None
            await send_queries(nodes, now_ms() + 2000, 0.02)
            before, other_before = server.arrivals, other.arrivals
            await send_queries(nodes, now_ms() + 1500, 0.02)
            arrived = server.arrivals - before
            assert arrived >= (other.arrivals - other_before) / 2

    asyncio.run(scenario())
