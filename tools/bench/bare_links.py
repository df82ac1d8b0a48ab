"""The lean baseline of cost: the gateway's own connections, no decisions.

One process asks one backend server of each shard, all at once, and waits for
all replies.  It prints its processor time in seconds.
"""

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final, final

import uvloop

from dandelionstage.catalog.servers import ServerId
from dandelionstage.gateway.attempt import Attempt, Outcome
from dandelionstage.gateway.server_connection import (
    ConnectionState,
    ServerConnection,
)
from dandelionstage.platform.names import HEADERS

__all__ = ('QUERIES', 'WARM_UP', 'Ask', 'caller', 'main', 'offer')

#: Asks one query, by its request id, and waits for the answer.
Ask = Callable[[str], Awaitable[None]]

QUERIES: Final = 1500
WARM_UP: Final = 100
_LENGTH: Final = b'content-length: '
_RATE_PER_S: Final = 100.0
_SEED: Final = 5
_HEAD: Final = (
    'GET /q/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {0}\r\n'
    'X-Request-Deadline: 1500\r\n{1}\r\n'
)


def _query_head(request_id: str, more: str = '') -> bytes:
    """Write a query as callers and the gateway do."""
    return _HEAD.format(request_id, more).encode()


async def caller(host: str, port: int) -> Ask:
    """Connect to a gateway and return what asks it one query."""
    reader, writer = await asyncio.open_connection(host, port)

    async def ask(request_id: str) -> None:  # noqa: WPS430 -- a closure
        writer.write(_query_head(request_id))
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(_LENGTH)[2].split()[0]
        await reader.readexactly(int(length))

    return ask


async def offer(ask: Ask) -> None:
    """Offer queries at random times, each after the one before it."""
    random = Random(_SEED)
    for number in range(QUERIES):
        await ask('r{0}'.format(number))
        await asyncio.sleep(random.expovariate(_RATE_PER_S))


@final
class _Bare:
    """One connection to each server, each asked for every query."""

    def __init__(self) -> None:
        self._links: dict[str, ServerConnection] = {}
        self._missing = 0
        self._whole = asyncio.Event()

    async def connect(self, name: str, address: str) -> None:
        """Connect to a server."""
        host, _, port = address.partition(':')
        link = ServerConnection(HEADERS, lambda _link: None)
        self._links[name] = link
        await asyncio.get_running_loop().create_connection(
            lambda: link, host, int(port)
        )

    async def ask(self, request_id: str) -> None:
        """Send a query to all and wait for all replies."""
        self._missing = len(self._links)
        self._whole.clear()
        for name, link in self._links.items():
            if link.state is ConnectionState.IDLE:
                link.send(self._attempt(request_id, name))
        await self._whole.wait()

    def _attempt(self, request_id: str, name: str) -> Attempt:
        target = 'X-Target-Instance: {0}\r\n'.format(name)
        sent = _query_head(request_id, target)
        return Attempt(
            ServerId(name), request_id.encode(), lambda _left: sent, self._end
        )

    def _end(self, attempt: Attempt, ending: Outcome) -> None:
        self._missing -= 1
        if not self._missing:
            self._whole.set()


async def _run(servers: dict[str, str]) -> float:
    bare = _Bare()
    for name, address in servers.items():
        await bare.connect(name, address)
    for number in range(WARM_UP):
        await bare.ask('w{0}'.format(number))
    before_s = time.process_time()
    await offer(bare.ask)
    return time.process_time() - before_s


def main() -> None:
    """Read the servers as JSON and print the processor time."""
    used_s = uvloop.run(_run(json.loads(sys.argv[1])))
    sys.stdout.write('{0}'.format(used_s))


if __name__ == '__main__':
    main()
