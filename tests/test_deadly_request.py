"""A request that ends every server that runs it, and comes again."""

import asyncio
import itertools
from collections import Counter

import httpx
import pytest

from dandelionstage.gateway.clock import now_ms

from .test_platform_nodes import list_runs, request_path, running

DEADLY = '/q/deadly'
#: From this time after the third server has ended, few retries may reach any.
SETTLING_MS = 4000
MAX_RETRIES = 3
#: Servers are down as long as it takes to start them again.
DOWN_S = 1.0
WORK_MS = 20


def make_deadly(platform):
    for server in platform.servers.values():
        server.deadly_target = DEADLY
        server.down_s = DOWN_S
        server.work_ms = WORK_MS


def record_more_ends(spread):
    """Have a VM that has seen servers end see it three times in succession."""
    digest = next(iter(spread.deadly._records))
    at_ms = now_ms()
    for each in range(3):
        spread.deadly.record_end(digest, 1, at_ms + each, at_ms + each + 1)


def list_ends(platform):
    return sorted(
        itertools.chain.from_iterable(
            server.ended_ms for server in platform.servers.values()
        )
    )


def count_late_retries(platform, requests):
    """Count the requests that reached servers after the settling time."""
    settled_ms = list_ends(platform)[2] + SETTLING_MS
    arrivals = itertools.chain.from_iterable(
        server.arrived for server in platform.servers.values()
    )
    return len(
        {
            request
            for at_ms, request in arrivals
            if at_ms > settled_ms and request in requests
        }
    )


async def send_beside_others(platform, nodes, until_ms, gap_s):
    """Send the deadly request to each VM in turn, and others beside it.

    :returns: statuses of the answers to the deadly request and to others.
    """
    statuses = {'deadly': Counter(), 'other': Counter()}
    numbers = itertools.count()

    async def send(kind, node, path, client):
        answer = await request_path(node, path, client)
        statuses[kind][answer.status_code] += 1

    async with httpx.AsyncClient(timeout=10, trust_env=False) as client:
        tasks = []
        for node in itertools.cycle(nodes):
            if now_ms() > until_ms:
                break
            tasks.append(send('deadly', node, DEADLY, client))
            tasks.extend(
                send('other', each, '/q/{0}'.format(next(numbers)), client)
                for each in nodes
            )
            tasks = [asyncio.ensure_future(task) for task in tasks]
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)
    return statuses


def test_vm_that_starts_later_rejects_a_deadly_request(tmp_path):
    """What is known reaches VMs that were not there when it was found out."""

    async def scenario():
        async with running(tmp_path, 67, vms=3) as (platform, nodes):
            make_deadly(platform)
            asked = await request_path(nodes[0], DEADLY)
            record_more_ends(nodes[0]._sources.spread)
            assert asked.status_code == 502
            ended = len(list_ends(platform))
            platform.plan_hosts(4)
            late = await platform.start_node(3)
            await platform.until(lambda: late._sources.catalog.usable)
            await asyncio.sleep(2)
            answer = await request_path(late, DEADLY)
            assert answer.status_code == 503
            assert float(answer.headers['retry-after']) > 60
            assert len(list_ends(platform)) == ended

    asyncio.run(scenario())


@pytest.mark.parametrize('vms', [1, 3])
def test_request_that_ends_servers_reaches_few_of_them_again(tmp_path, vms):
    """Guards against a request that ends server after server."""

    async def scenario():
        async with running(tmp_path, 60 + vms, vms=vms) as (platform, nodes):
            make_deadly(platform)
            end_ms = now_ms() + SETTLING_MS + 4000
            statuses = await send_beside_others(platform, nodes, end_ms, 0.2)
            deadly = {
                run.request
                for run in list_runs(platform)
                if run.target == DEADLY
            }
            assert count_late_retries(platform, deadly) <= MAX_RETRIES
            # None is served, and the others are.
            assert not statuses['deadly'][200]
            others = statuses['other']
            assert others[200] * 10 >= others.total() * 9

    asyncio.run(scenario())
