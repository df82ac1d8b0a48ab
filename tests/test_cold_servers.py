"""Cold servers get no more than the rate that they take (FAILBACK)."""

import asyncio
import itertools
from random import Random

import pytest

from dandelionstage.gateway.clock import now_ms
from dandelionstage.placing.permit_issuer import PermitIssuer
from dandelionstage.placing.send_limit import SendLimit
from dandelionstage.placing.warm_up import (
    COLD_DEPTH_S,
    COLD_PERMIT_MS,
    ColdTolerance,
)

from .test_evacuation import ORDER, ZONES, evacuated, in_zone
from .test_platform_nodes import running
from .test_server_limit import send_queries

SECOND_MS = 1000
WARM_UP_S = 3
TOLERANCE = ColdTolerance(ratio=1.5, slack=5)


def most_in_a_second(times):
    return max(
        (
            sum(start <= at_ms < start + SECOND_MS for at_ms in times)
            for start in times
        ),
        default=0,
    )


@pytest.mark.parametrize('per_s', [2, 8, 30, 200])
def test_permits_of_any_second_stay_within_what_a_cold_server_bears(per_s):
    """Load: all VMs want to send at once, and use some permits late."""
    random = Random(per_s)
    issuers = [PermitIssuer() for _ in range(3)]
    part_per_s = TOLERANCE.permitted_per_s(per_s) / len(issuers)
    used = []
    # Calm at first, so that permits are kept, and then everybody asks.
    for at_ms in itertools.chain((0,), range(900, 6000, 5)):
        for issuer in issuers:
            grant = issuer.grant(('i', 1), part_per_s, 50, at_ms, COLD_DEPTH_S)
            used_ms = at_ms + random.choice((0, COLD_PERMIT_MS))
            used.extend(itertools.repeat(used_ms, grant.permits))
    assert most_in_a_second(used) <= 1.5 * per_s + 5
    assert len(used) >= 0.8 * per_s * 5


def test_limit_of_a_cold_server_stands_beside_the_one_that_it_named():
    limit = SendLimit()
    limit.change(10)
    limit.warm_up(4, 3000)
    assert limit.per_s == 4
    limit.end_warm_up(2999)
    limit.change(3)
    assert limit.per_s == 3
    limit.end_warm_up(3000)
    limit.change(0)
    assert not limit.per_s


@pytest.mark.parametrize('per_s', [2.0, 8.0])
def test_servers_that_return_from_an_evacuation_get_their_rate(tmp_path, per_s):
    async def scenario():
        async with running(tmp_path, 420, vms=3, zones=ZONES) as place:
            platform, nodes = place
            platform.publish_warm_up(4, WARM_UP_S, per_s)
            platform.store.put(ORDER, {})
            await evacuated(platform, nodes)
            # An issuer that has just started grants no permits.
            await asyncio.sleep(2)
            platform.store.remove(ORDER)
            begin_ms = now_ms()
            statuses = await send_queries(nodes, begin_ms + 2500, 0.01)
            assert set(statuses) == {200}
            for server in in_zone(platform, 'b'):
                times = [at for at, _ in server.arrived if at >= begin_ms]
                assert most_in_a_second(times) <= 1.5 * per_s + 5

    asyncio.run(scenario())


def test_server_that_started_again_unseen_gets_its_rate(tmp_path):
    """It has the same id, and its entry does not say yet that it is cold."""

    async def scenario():
        async with running(tmp_path, 421, vms=2, replicas=1) as place:
            platform, nodes = place
            platform.publish_warm_up(4, WARM_UP_S, 2.0)
            server = platform.servers['i-1']
            await send_queries(nodes, now_ms() + 2000, 0.02)
            server.down_s = 1
            server.end()
            begin_ms = now_ms()
            await send_queries(nodes, begin_ms + 3000, 0.02)
            times = [at for at, _ in server.arrived if at > begin_ms]
            assert times
            assert most_in_a_second(times) <= 1.5 * 2 + 5

    asyncio.run(scenario())
