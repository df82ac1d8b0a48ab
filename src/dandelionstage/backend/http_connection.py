"""Sends requests and reads replies over one HTTP connection."""

from types import TracebackType
from typing import Any, Final, Self, final

import anyio
import h11
import httpcore
from anyio.abc import SocketStream

from ..model.topology import BackendServer
from ..model.verdict import Reason
from .exchange import Exchange, NoReply, Reply
from .limits import MS_PER_S, ConnectionLimits, now_ms
from .request_builder import RequestBuilder
from .request_stream import RequestStream

__all__ = ('HttpConnection', 'open_http_connection')

_CONNECTION_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    h11.ProtocolError,
    OSError,
)


@final
class HttpConnection:
    """An open HTTP connection, closed when its context exits."""

    def __init__(
        self,
        server: BackendServer,
        socket: SocketStream,
        limits: ConnectionLimits,
    ) -> None:
        """Use HTTP/1.1 over a connected socket."""
        self._request_builder = RequestBuilder(
            server.host.encode(), server.port
        )
        self._max_reply_bytes = limits.max_reply_bytes
        self._stream = RequestStream(socket)
        self._http = httpcore.AsyncHTTP11Connection(
            self._request_builder.origin,
            self._stream,
        )

    async def __aenter__(self) -> Self:
        """Return the connection, which is open already."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the socket, also during cancellation."""
        with anyio.CancelScope(shield=True):
            await self._http.aclose()

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent.

        The server may have closed its side even if this is true, when this
        process has not been told yet.
        """
        return not (self._http.is_closed() or self._http.has_expired())

    async def post(self, exchange: Exchange[Any]) -> Reply | NoReply:
        """Send a request and read its reply before the deadline."""
        started_ms = now_ms()
        if exchange.deadline_ms <= started_ms:
            return NoReply(Reason.DEADLINE_EXPIRED)
        self._stream.start_request(exchange.deadline_ms)
        body = exchange.encode(started_ms)
        request = self._request_builder.build_post(exchange.target, body)
        with anyio.CancelScope(deadline=exchange.deadline_ms / MS_PER_S):
            try:
                return await self._send_and_read(request, started_ms)
            except _CONNECTION_ERRORS as error:
                return self._make_no_reply(
                    Reason.CONNECTION_LOST, started_ms, error
                )
            except httpcore.WriteTimeout as error:
                return self._make_no_reply(
                    Reason.DEADLINE_EXPIRED, started_ms, error
                )
        return self._make_no_reply(
            Reason.DEADLINE_EXPIRED, started_ms, 'no reply'
        )

    async def _send_and_read(
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
                return self._make_no_reply(
                    Reason.BAD_REPLY, started_ms, 'too long'
                )
        await response.aclose()
        return Reply(response.status, bytes(body), now_ms() - started_ms)

    def _make_no_reply(
        self,
        reason: Reason,
        started_ms: float,
        detail: object,
    ) -> NoReply:
        sent_at_ms = started_ms if self._stream.written else None
        return NoReply(reason, sent_at_ms, str(detail))


async def open_http_connection(
    server: BackendServer,
    limits: ConnectionLimits,
    deadline_ms: float,
) -> HttpConnection | NoReply:
    """Open a connection before the connect timeout and the deadline.

    :param deadline_ms: monotonic time.
    :returns: the reason why there is no connection if it was refused or was
        not open in time.
    """
    connect_deadline_ms = min(deadline_ms, now_ms() + limits.connect_timeout_ms)
    with anyio.CancelScope(deadline=connect_deadline_ms / MS_PER_S):
        try:
            socket = await anyio.connect_tcp(server.host, server.port)
        except OSError as error:
            return NoReply(Reason.CONNECT_FAILED, detail=str(error))
        return HttpConnection(server, socket, limits)
    return NoReply(Reason.CONNECT_FAILED, detail='no connection in time')
