"""The baseline of cost: a scatter with the same transports and no policy.

One process asks one backend server of each shard, all at once, and gathers
whatever comes.  It prints its processor time per sub-request.
"""

import sys
import time
from contextlib import AsyncExitStack
from random import Random
from typing import Final, final

import anyio
from pydantic import BaseModel

from dandelionstage.backend.pool import BackendPool

from .bare_messages import (
    CONNECTIONS,
    DEADLINE_MS,
    make_server,
    make_sub_request,
)

_MS_PER_S: Final = 1000
_US_PER_S: Final = 1_000_000
_SEED: Final = 1


@final
class Load(BaseModel):
    """What to offer to which backend servers, one of each shard."""

    ports: dict[str, int]
    rate_per_s: float
    duration_s: float
    snapshot: str


async def _scatter(
    pools: dict[str, BackendPool],
    number: int,
    snapshot: str,
) -> None:
    deadline_ms = anyio.current_time() * _MS_PER_S + DEADLINE_MS
    async with anyio.create_task_group() as group:
        for name, pool in pools.items():
            sub_request = make_sub_request(name, number, snapshot)
            group.start_soon(pool.attempt, sub_request, deadline_ms)


async def _offer(
    pools: dict[str, BackendPool],
    load: Load,
) -> int:
    """Offer queries at random times and count them."""
    random = Random(_SEED)
    sent = 0
    with anyio.move_on_after(load.duration_s):
        async with anyio.create_task_group() as group:
            while True:
                sent += 1
                group.start_soon(_scatter, pools, sent, load.snapshot)
                await anyio.sleep(random.expovariate(load.rate_per_s))
    return sent


async def _open(
    pools: dict[str, BackendPool],
    stack: AsyncExitStack,
) -> None:
    for pool in pools.values():
        await stack.enter_async_context(pool)


async def _measure(load: Load) -> float:
    pools = {
        name: BackendPool(make_server(name, port), CONNECTIONS)
        for name, port in load.ports.items()
    }
    async with AsyncExitStack() as stack:
        await _open(pools, stack)
        return await _measure_open(pools, load)


async def _measure_open(
    pools: dict[str, BackendPool],
    load: Load,
) -> float:
    await _scatter(pools, 0, load.snapshot)
    before_s = time.process_time()
    sent = await _offer(pools, load)
    used_s = time.process_time() - before_s
    return used_s * _US_PER_S / (sent * len(pools))


def main() -> None:
    """Read the load as JSON from the command line and print the cost."""
    load = Load.model_validate_json(sys.argv[1])
    cost_us = anyio.run(
        _measure,
        load,
        backend_options={'use_uvloop': True},
    )
    sys.stdout.write('{0:.1f}\n'.format(cost_us))


if __name__ == '__main__':
    main()
