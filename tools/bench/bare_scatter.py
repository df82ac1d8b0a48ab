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
from dandelionstage.model.contract import Priority
from dandelionstage.model.ids import (
    BackendId,
    CallId,
    CustomerId,
    DataCentreId,
    RequestId,
    Revision,
    ShardId,
    SnapshotId,
    WorkloadId,
)
from dandelionstage.model.messages import OwnerKey, Pin, SubRequest
from dandelionstage.model.topology import BackendServer

_MS_PER_S: Final = 1000
_US_PER_S: Final = 1_000_000
_DEADLINE_MS: Final = 3000
_CONNECTIONS: Final = 16
_SLOTS: Final = 2
_SEED: Final = 1
_LOOPBACK: Final = '127.0.0.1'


@final
class Load(BaseModel):
    """What to offer to which backend servers, one of each shard."""

    ports: dict[str, int]
    rate_per_s: float
    duration_s: float
    snapshot: str


def _server(name: str, port: int) -> BackendServer:
    return BackendServer(
        backend=BackendId(name),
        host=_LOOPBACK,
        port=port,
        slots=_SLOTS,
        max_connections=_CONNECTIONS,
    )


def _sub_request(name: str, number: int, snapshot: str) -> SubRequest:
    shard = name.rpartition('.')[0]
    return SubRequest(
        call=CallId('{0}.{1}'.format(name, number)),
        request=RequestId('bare'),
        customer=CustomerId('bare'),
        owner_key=OwnerKey(
            WorkloadId('finder-desk'),
            ShardId(shard),
            DataCentreId('bare'),
        ),
        pin=Pin(SnapshotId(snapshot), Revision(1)),
        replicas=(BackendId(name),),
        priority=Priority.URGENT,
        remaining_ms=_DEADLINE_MS,
        query_json='{"ring": "A1"}',
    )


async def _scatter(
    pools: dict[str, BackendPool],
    number: int,
    snapshot: str,
) -> None:
    deadline_ms = anyio.current_time() * _MS_PER_S + _DEADLINE_MS
    async with anyio.create_task_group() as group:
        for name, pool in pools.items():
            sub_request = _sub_request(name, number, snapshot)
            group.start_soon(pool.attempt, sub_request, deadline_ms)


async def _offer(
    pools: dict[str, BackendPool],
    load: Load,
) -> int:
    """Offer queries at random times and count them."""
    random = Random(_SEED)
    ends_s = anyio.current_time() + load.duration_s
    sent = 0
    async with anyio.create_task_group() as group:
        while anyio.current_time() < ends_s:
            sent += 1
            group.start_soon(_scatter, pools, sent, load.snapshot)
            await anyio.sleep(random.expovariate(load.rate_per_s))
    return sent


async def _measure(load: Load) -> float:
    pools = {
        name: BackendPool(_server(name, port), _CONNECTIONS)
        for name, port in load.ports.items()
    }
    async with AsyncExitStack() as stack:
        for pool in pools.values():
            await stack.enter_async_context(pool)
        await _scatter(pools, 0, load.snapshot)
        before_s = time.process_time()
        sent = await _offer(pools, load)
    return (time.process_time() - before_s) * _US_PER_S / (sent * len(pools))


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
