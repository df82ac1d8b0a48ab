"""A small HTTP port whose answers may be late, cut, spoiled or missing."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Final, cast, final

import httptools

from dandelionstage.lifecycle.resource_owner import ResourceOwner

__all__ = ('Asked', 'HttpPort', 'Serve')

_RESET: Final = 'reset'
_END_OF_HEAD: Final = b'\r\n\r\n'


@final
@dataclass(slots=True)
class Asked:
    """One request as received."""

    method: str = ''
    target: str = ''
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


#: Makes the bytes of an answer; nothing at all if it is empty.
Serve = Callable[[Asked], Awaitable[bytes]]


@final
class HttpPort(ResourceOwner):
    """Serves one request at a time on each connection.

    :ivar accepted: connections accepted so far.
    :ivar open_links: connections open now.
    """

    def __init__(self, host: str, port: int, serve: Serve) -> None:
        """Prepare; nothing listens before the port is entered."""
        self.accepted = 0
        self.open_links: set[_Link] = set()
        self._host = host
        self._port = port
        self._serve = serve
        self._server: asyncio.Server | None = None

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    async def listen(self) -> None:
        """Accept connections."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Link(self._serve, self), self._host, self._port
        )

    def end(self) -> None:
        """Accept no connections and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.cut_all()

    def cut_all(self) -> None:
        """Reset every connection."""
        for link in tuple(self.open_links):
            link.abort()

    async def _open(self, stack: AsyncExitStack) -> None:
        await self.listen()
        stack.callback(self.end)


@final
class _Link(asyncio.Protocol):  # noqa: WPS214 -- a protocol's callbacks
    def __init__(self, serve: Serve, port: HttpPort) -> None:
        self._serve = serve
        self._port = port
        self._parser = httptools.HttpRequestParser(self)
        self._asked = Asked()
        self._transport: asyncio.Transport | None = None
        self._work: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._port.accepted += 1
        self._port.open_links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop working for who is gone."""
        self._port.open_links.discard(self)
        if self._work is not None:
            self._work.cancel()

    def data_received(self, received: bytes) -> None:
        """Read a request."""
        self._parser.feed_data(received)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Start a request (called by the parser)."""
        self._asked = Asked()

    def on_url(self, piece: bytes) -> None:
        """Keep a piece of the target (called by the parser)."""
        self._asked.target += piece.decode()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header (called by the parser)."""
        self._asked.headers[name.decode().lower()] = content.decode('latin-1')

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body (called by the parser)."""
        self._asked.body += piece

    def on_message_complete(self) -> None:
        """Answer (called by the parser)."""
        self._asked.method = self._parser.get_method().decode()
        answering = self._answer(self._asked)
        self._work = asyncio.get_running_loop().create_task(answering)

    async def _answer(self, asked: Asked) -> None:
        answer = await self._serve(asked)
        if self._transport is None or not answer:
            return
        if answer == _RESET.encode():
            self._transport.abort()
            return
        if asked.method == 'HEAD':
            answer = answer[: answer.index(_END_OF_HEAD) + len(_END_OF_HEAD)]
        self._transport.write(answer)
        if b'connection: close' in answer.lower():
            self._transport.close()
