"""Open-loop load: requests leave when they are due, whatever came back."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final, final

import anyio
import httpcore

from tools.fleet.layout import VmPlace

from .balancer import Balancer, Headers
from .outcomes import Ending, Outcome
from .streams import Stream, encode_query, read_reply

__all__ = ('offer',)

_MS_PER_S: Final = 1000
#: A caller gives up after this long.
_PATIENCE_S: Final = 15
_RINGS: Final = 100_000


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
        headers, body = encode_query(self.stream, ring)
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
    places: Sequence[VmPlace],
    duration_s: float,
    seed: int,
) -> list[Outcome]:
    """Offer all streams at once and wait for every outcome."""
    balancer = Balancer(places)
    runs = _prepare(streams, balancer, duration_s)
    async with anyio.create_task_group() as watching:
        watching.start_soon(balancer.watch)
        await _send_streams(runs, seed)
        watching.cancel_scope.cancel()
    return [outcome for each in runs for outcome in each.outcomes]


async def _send_streams(runs: Sequence[_Run], seed: int) -> None:
    async with anyio.create_task_group() as group:
        for number, run in enumerate(runs):
            random = Random('{0}/{1}'.format(seed, number))
            group.start_soon(run.send_all, random)


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
    try:
        return read_reply(status, json.loads(payload))
    except ValueError:
        return Ending.FAILED, 'no JSON'
