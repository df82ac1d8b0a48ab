"""Stands for the platform's balancer: round robin over the daemons."""

from collections.abc import Sequence
from typing import Final, final

import httpcore

__all__ = ('Balancer', 'Headers')

Headers = list[tuple[bytes, bytes]]

_IDLE_S: Final = 15
_LOOPBACK: Final = b'127.0.0.1'


@final
class Balancer:
    """Passes by daemons that are down; one connection per open request."""

    def __init__(self, ports: Sequence[int]) -> None:
        """Spread over these caller ports."""
        self._ports = list(ports)
        self._next = 0
        self._idle: dict[int, list[httpcore.AsyncHTTPConnection]] = {
            port: [] for port in ports
        }

    async def post(self, headers: Headers, body: bytes) -> tuple[int, bytes]:
        """Send a query, to the next daemon if one cannot be reached.

        :raises httpcore.NetworkError: none can, or a connection was cut.
        """
        for _ in self._ports[1:]:
            reply = await self._try(self._pick(), headers, body)
            if reply is not None:
                return reply
        return await self._post_to(self._pick(), headers, body)

    def _pick(self) -> int:
        self._next = (self._next + 1) % len(self._ports)
        return self._ports[self._next]

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
        idle = self._idle[port]
        connection = idle.pop() if idle else _connection(port)
        if connection.has_expired() or connection.is_closed():
            await connection.aclose()
            connection = _connection(port)
        response = await connection.request(
            b'POST',
            'http://127.0.0.1:{0}/v1/query'.format(port),
            headers=headers,
            content=body,
        )
        if connection.is_idle():
            idle.append(connection)
        return response.status, response.content


def _connection(port: int) -> httpcore.AsyncHTTPConnection:
    return httpcore.AsyncHTTPConnection(
        httpcore.Origin(b'http', _LOOPBACK, port),
        keepalive_expiry=_IDLE_S,
    )
