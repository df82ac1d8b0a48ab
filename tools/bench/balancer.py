"""Stands for the platform's balancer: round robin over ready daemons."""

from collections.abc import Sequence
from typing import Final, final

import anyio
import httpcore

from tools.fleet.layout import VmPlace

__all__ = ('Balancer', 'Headers')

Headers = list[tuple[bytes, bytes]]

_IDLE_S: Final = 15
_CHECK_EVERY_S: Final = 0.2
_CHECK_TIMEOUT_S: Final = 0.5
_LOOPBACK: Final = b'127.0.0.1'
_URL: Final = 'http://127.0.0.1:{0}{1}'
_OK: Final = 200


@final
class Balancer:
    """Passes by daemons that are not ready; one connection per request."""

    def __init__(self, places: Sequence[VmPlace]) -> None:
        """Spread over these daemons."""
        self._places = tuple(places)
        self._ready = [place.caller_port for place in places]
        self._next = 0
        self._idle: dict[int, list[httpcore.AsyncHTTPConnection]] = {
            place.caller_port: [] for place in places
        }

    async def watch(self) -> None:
        """Ask each daemon whether it is ready, until cancelled."""
        while True:
            ready: list[int] = []
            async with anyio.create_task_group() as group:
                for place in self._places:
                    group.start_soon(_check, place, ready)
            self._ready = ready or self._ready
            await anyio.sleep(_CHECK_EVERY_S)

    async def post(self, headers: Headers, body: bytes) -> tuple[int, bytes]:
        """Send a query, to the next daemon if one cannot be reached.

        :raises httpcore.NetworkError: none can, or a connection was cut.
        """
        for _ in self._places[1:]:
            reply = await self._try(self._pick(), headers, body)
            if reply is not None:
                return reply
        return await self._post_to(self._pick(), headers, body)

    def _pick(self) -> int:
        self._next = (self._next + 1) % len(self._ready)
        return self._ready[self._next]

    async def _try(
        self,
        port: int,
        headers: Headers,
        body: bytes,
    ) -> tuple[int, bytes] | None:
        try:
            return await self._post_to(port, headers, body)
        except httpcore.ConnectError:
            return None

    async def _post_to(
        self,
        port: int,
        headers: Headers,
        body: bytes,
    ) -> tuple[int, bytes]:
        connection = await self._connection(port)
        response = await connection.request(
            b'POST',
            _URL.format(port, '/v1/query'),
            headers=headers,
            content=body,
        )
        if connection.is_idle():
            self._idle[port].append(connection)
        return response.status, response.content

    async def _connection(self, port: int) -> httpcore.AsyncHTTPConnection:
        idle = self._idle[port]
        while idle:
            connection = idle.pop()
            if not connection.has_expired():
                return connection
            await connection.aclose()
        return _connect(port)


async def _check(place: VmPlace, ready: list[int]) -> None:
    with anyio.move_on_after(_CHECK_TIMEOUT_S):
        try:
            async with _connect(place.operator_port) as connection:
                response = await connection.request(
                    b'GET',
                    _URL.format(place.operator_port, '/readyz'),
                )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
        if response.status == _OK:
            ready.append(place.caller_port)


def _connect(port: int) -> httpcore.AsyncHTTPConnection:
    return httpcore.AsyncHTTPConnection(
        httpcore.Origin(b'http', _LOOPBACK, port),
        keepalive_expiry=_IDLE_S,
    )
