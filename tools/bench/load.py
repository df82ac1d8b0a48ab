"""Open-loop load: requests leave when they are due, whatever came back."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final, final

import anyio
import httpcore

from .balancer import Balancer, Headers
from .outcomes import Ending, Outcome

__all__ = ('Stream', 'offer')

_MS_PER_S: Final = 1000
_OK: Final = 200
#: A caller gives up after this long.
_PATIENCE_S: Final = 15
_RINGS: Final = 100_000


@final
@dataclass(frozen=True, slots=True)
class Stream:
    """The requests of one customer, arriving at random times.

    :ivar rate_per_s: mean of the Poisson arrivals.
    """

    customer: str
    key: str
    workload: str
    rate_per_s: float


@final
@dataclass(frozen=True, slots=True)
class _Run:
    stream: Stream
    balancer: Balancer
    began_s: float
    duration_s: float
    outcomes: list[Outcome]

    async def send_all(self, random: Random) -> None:
        """Send each request when it is due."""
        due_s = random.expovariate(self.stream.rate_per_s)
        async with anyio.create_task_group() as group:
            while due_s < self.duration_s:
                await anyio.sleep_until(self.began_s + due_s)
                group.start_soon(
                    self._send_one, due_s, random.randrange(_RINGS)
                )
                due_s += random.expovariate(self.stream.rate_per_s)

    async def _send_one(self, due_s: float, ring: int) -> None:
        headers, body = _encode(self.stream, ring)
        ending, reason = Ending.FAILED, 'patience'
        with anyio.move_on_after(_PATIENCE_S):
            ending, reason = await _ask(self.balancer, headers, body)
        elapsed_s = anyio.current_time() - self.began_s - due_s
        self.outcomes.append(
            Outcome(
                customer=self.stream.customer,
                at_s=due_s,
                elapsed_ms=elapsed_s * _MS_PER_S,
                ending=ending,
                reason=reason,
            ),
        )


async def offer(
    streams: Sequence[Stream],
    ports: Sequence[int],
    duration_s: float,
    seed: int,
) -> list[Outcome]:
    """Offer all streams at once and wait for every outcome."""
    runs = _prepare(streams, Balancer(ports), duration_s)
    async with anyio.create_task_group() as group:
        for number, run in enumerate(runs):
            random = Random('{0}/{1}'.format(seed, number))
            group.start_soon(run.send_all, random)
    return [outcome for each in runs for outcome in each.outcomes]


def _prepare(
    streams: Sequence[Stream],
    balancer: Balancer,
    duration_s: float,
) -> list[_Run]:
    began_s = anyio.current_time()
    return [
        _Run(stream, balancer, began_s, duration_s, []) for stream in streams
    ]


async def _ask(
    balancer: Balancer,
    headers: Headers,
    body: bytes,
) -> tuple[Ending, str]:
    try:
        status, payload = await balancer.post(headers, body)
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        return Ending.FAILED, type(error).__name__
    return _read(status, json.loads(payload))


def _encode(stream: Stream, ring: int) -> tuple[Headers, bytes]:
    body = json.dumps(
        {
            'workload': stream.workload,
            'query': {'ring': 'R{0}'.format(ring)},
        }
    ).encode()
    authorization = 'Bearer {0}'.format(stream.key)
    headers = [
        (b'host', b'127.0.0.1'),
        (b'authorization', authorization.encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    return headers, body


def _read(status: int, reply: dict[str, Any]) -> tuple[Ending, str]:
    if status != _OK:
        return Ending.REFUSED, str(reply['reason'])
    if reply['coverage']['complete']:
        return Ending.WHOLE, ''
    return Ending.PARTIAL, ''
