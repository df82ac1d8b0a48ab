"""The socket below the HTTP library, watched and guarded."""

import select
from typing import Any, Final, final

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from .limits import now_ms

__all__ = ('GuardedStream',)

_CLOSED: Final = (anyio.BrokenResourceError, anyio.ClosedResourceError)


@final
class GuardedStream(httpcore.AsyncNetworkStream):
    """A socket that knows whether any of a request was handed to it.

    Times are bounded by the caller's cancel scope, so the timeouts that the
    HTTP library passes are not looked at.

    :ivar written: some of the request at hand was handed over; what became
        of it is not known.
    """

    def __init__(self, socket: SocketStream) -> None:
        """Take over a connected socket."""
        self.written = False
        self._deadline_ms = now_ms()
        self._head = b''
        self._socket = socket
        self._poll = select.poll()
        raw = socket.extra(SocketAttribute.raw_socket)
        self._poll.register(raw.fileno(), select.POLLIN)

    def expect(self, deadline_ms: float) -> None:
        """Begin a request, nothing of which may be sent after its deadline."""
        self.written = False
        self._head = b''
        self._deadline_ms = deadline_ms

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read what has come, empty at the end."""
        try:
            return await self._socket.receive(max_bytes)
        except anyio.EndOfStream:
            return b''
        except _CLOSED as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a request whole: its head waits for its body.

        This is the last look at the clock: a process that was paused after
        the request was built sends none of it.
        """
        if not self._head:
            self._head = buffer
        elif buffer:
            await self._send(self._head + buffer)

    async def aclose(self) -> None:
        """Close the socket."""
        await self._socket.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Tell whether there is something to read, the one thing asked."""
        return info == 'is_readable' and bool(self._poll.poll(0))

    async def _send(self, request: bytes) -> None:
        if now_ms() >= self._deadline_ms:
            raise httpcore.WriteTimeout('the deadline passed before the send')
        self.written = True
        try:
            await self._socket.send(request)
        except _CLOSED as error:
            raise httpcore.WriteError(str(error)) from error
