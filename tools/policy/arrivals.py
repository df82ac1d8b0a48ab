"""Sub-requests that arrive at random, and fake servers for them."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Final, final

from dandelionstage.model.contract import Priority
from dandelionstage.model.ids import (
    BackendId,
    CallId,
    CustomerId,
    RequestId,
    Revision,
    ShardId,
    SnapshotId,
    WorkloadId,
)
from dandelionstage.model.messages import OwnerKey, Pin, SubRequest
from dandelionstage.model.topology import BackendServer

from .loop import Loop
from .owner_run import HERE
from .server import FakeServer

__all__ = ('Stream', 'arrive', 'make_servers')

_SLOTS: Final = 2
_CONNECTIONS: Final = 50
_MS_PER_S: Final = 1000
_PIN: Final = Pin(SnapshotId('s'), Revision(1))

_numbers = count()


@final
@dataclass(frozen=True, slots=True)
class Stream:
    """Poisson arrivals of one kind.

    :ivar per_s: sub-requests per second.
    :ivar remaining_ms: their time from arrival to deadline.
    """

    customer: CustomerId
    priority: Priority
    per_s: float
    remaining_ms: float


def make_servers(
    means_ms: Sequence[float], loop: Loop, random: Random
) -> Mapping[BackendId, FakeServer]:
    """Make servers of two slots with these mean service times."""
    servers: dict[BackendId, FakeServer] = {}
    for number, mean_ms in enumerate(means_ms):
        backend = BackendId('b{0}'.format(number))
        published = BackendServer(
            backend=backend,
            host='::1',
            port=1,
            slots=_SLOTS,
            max_connections=_CONNECTIONS,
        )
        servers[backend] = FakeServer(published, mean_ms, loop, random)
    return servers


def arrive(
    stream: Stream,
    replicas: Sequence[BackendId],
    loop: Loop,
    random: Random,
    take: Callable[[SubRequest], None],
) -> None:
    """Let a stream arrive for as long as the loop runs."""

    def bring() -> None:  # noqa: WPS430 -- a closure over the stream
        take(_make(stream, replicas))
        loop.after(random.expovariate(stream.per_s) * _MS_PER_S, bring)

    loop.after(random.expovariate(stream.per_s) * _MS_PER_S, bring)


def _make(stream: Stream, replicas: Sequence[BackendId]) -> SubRequest:
    return SubRequest(
        call=CallId(str(next(_numbers))),
        request=RequestId('r'),
        customer=stream.customer,
        owner_key=OwnerKey(WorkloadId('w'), ShardId('s'), HERE),
        pin=_PIN,
        replicas=tuple(replicas),
        priority=stream.priority,
        remaining_ms=stream.remaining_ms,
        query_json='{}',
    )
