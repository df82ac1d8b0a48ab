"""The network stream that the HTTP library sends requests on."""

import select
from typing import Any, Final, final

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from .limits import now_ms

__all__ = ('RequestStream',)

_CLOSED_ERRORS: Final = (anyio.BrokenResourceError, anyio.ClosedResourceError)


@final
class RequestStream(httpcore.AsyncNetworkStream):
    """A socket stream that sends no request after its deadline.

    The caller's cancel scope limits the time, so the timeouts that the HTTP
    library passes are ignored.

    :ivar written: whether part of the current request may have been sent.
    """

    def __init__(self, socket: SocketStream) -> None:
        """Use a connected socket, which the stream then owns."""
        self.written = False
        self._deadline_ms = now_ms()
        self._request_head = b''
        self._socket = socket
        self._poll = select.poll()
        raw = socket.extra(SocketAttribute.raw_socket)
        self._poll.register(raw.fileno(), select.POLLIN)

    def start_request(self, deadline_ms: float) -> None:
        """Start a request that must not be sent after its deadline."""
        self.written = False
        self._request_head = b''
        self._deadline_ms = deadline_ms

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read available bytes; return empty bytes at the end."""
        try:
            return await self._socket.receive(max_bytes)
        except anyio.EndOfStream:
            return b''
        except _CLOSED_ERRORS as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send a request as a whole, keeping its head until its body is passed.

        The deadline is checked again before the send, so that a process that
        was paused after it built the request sends nothing.
        """
        if not self._request_head:
            self._request_head = buffer
        elif buffer:
            await self._send(self._request_head + buffer)

    async def aclose(self) -> None:
        """Close the socket."""
        await self._socket.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket is readable, for ``is_readable`` only."""
        return info == 'is_readable' and bool(self._poll.poll(0))

    async def _send(self, request: bytes) -> None:
        if now_ms() >= self._deadline_ms:
            raise httpcore.WriteTimeout('the deadline passed before the send')
        self.written = True
        try:
            await self._socket.send(request)
        except _CLOSED_ERRORS as error:
            raise httpcore.WriteError(str(error)) from error
