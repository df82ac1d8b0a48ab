"""One open HTTP connection: a request goes out, a bounded reply comes in."""

from types import TracebackType
from typing import Any, Final, Self, final

import anyio
import h11
import httpcore
from anyio.abc import SocketStream

from ..model.topology import BackendServer
from ..model.verdict import Reason
from .address import Address
from .exchange import Exchange, NoReply, Reply
from .limits import MS, ConnectionLimits, now_ms
from .stream import GuardedStream

__all__ = ('Line', 'open_line')

_FAULTS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    h11.ProtocolError,
    OSError,
)


@final
class Line:
    """An open connection, closed when its block is left."""

    def __init__(
        self,
        server: BackendServer,
        socket: SocketStream,
        limits: ConnectionLimits,
    ) -> None:
        """Speak HTTP/1.1 over a connected socket."""
        self._address = Address(server.host.encode(), server.port)
        self._max_reply_bytes = limits.max_reply_bytes
        self._stream = GuardedStream(socket)
        self._http = httpcore.AsyncHTTP11Connection(
            self._address.origin,
            self._stream,
        )

    async def __aenter__(self) -> Self:
        """Nothing to do: the connection is open."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the socket, even while being cancelled."""
        with anyio.CancelScope(shield=True):
            await self._http.aclose()

    @property
    def is_usable(self) -> bool:
        """Whether a next request may be sent, as far as this end knows."""
        return not (self._http.is_closed() or self._http.has_expired())

    async def post(self, exchange: Exchange[Any]) -> Reply | NoReply:
        """Send a request and read its reply, never past the deadline."""
        started_ms = now_ms()
        if exchange.deadline_ms <= started_ms:
            return NoReply(Reason.DEADLINE_EXPIRED)
        self._stream.expect(exchange.deadline_ms)
        body = exchange.encode(started_ms)
        request = self._address.request(exchange.target, body)
        with anyio.CancelScope(deadline=exchange.deadline_ms / MS):
            try:
                return await self._carry(request, started_ms)
            except _FAULTS as error:
                return self._lost(Reason.CONNECTION_LOST, started_ms, error)
            except httpcore.WriteTimeout as error:
                return self._lost(Reason.DEADLINE_EXPIRED, started_ms, error)
        return self._lost(Reason.DEADLINE_EXPIRED, started_ms, 'no reply')

    async def _carry(
        self,
        request: httpcore.Request,
        started_ms: float,
    ) -> Reply | NoReply:
        response = await self._http.handle_async_request(request)
        body = bytearray()
        async for chunk in response.aiter_stream():
            body.extend(chunk)
            if len(body) > self._max_reply_bytes:
                await self._http.aclose()
                return self._lost(Reason.BAD_REPLY, started_ms, 'too long')
        await response.aclose()
        return Reply(response.status, bytes(body), now_ms() - started_ms)

    def _lost(
        self,
        reason: Reason,
        started_ms: float,
        detail: object,
    ) -> NoReply:
        sent_at_ms = started_ms if self._stream.written else None
        return NoReply(reason, sent_at_ms, str(detail))


async def open_line(
    server: BackendServer,
    limits: ConnectionLimits,
    deadline_ms: float,
) -> Line | NoReply:
    """Open a connection within its own bound and the deadline."""
    connect_by_ms = min(deadline_ms, now_ms() + limits.connect_ms)
    with anyio.CancelScope(deadline=connect_by_ms / MS):
        try:
            socket = await anyio.connect_tcp(server.host, server.port)
        except OSError as error:
            return NoReply(Reason.CONNECT_FAILED, detail=str(error))
        return Line(server, socket, limits)
    return NoReply(Reason.CONNECT_FAILED, detail='no connection in time')
