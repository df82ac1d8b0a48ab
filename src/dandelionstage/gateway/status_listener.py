"""Minimal HTTP server for the status pages of this process."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import Final, cast, final

import httptools

from ..lifecycle.resource_owner import ResourceOwner
from .requests import Answer

__all__ = ('RenderPage', 'StatusListener')

#: Builds the answer to one request for a page.
RenderPage = Callable[[], Answer]

_NOT_FOUND: Final = Answer(HTTPStatus.NOT_FOUND.value)

#: A request for a page has a short head and no body.
_MAX_REQUEST_BYTES: Final = 16_384


@final
class StatusListener(ResourceOwner):
    """Serves a fixed set of status pages over HTTP."""

    def __init__(
        self, address: tuple[str, int], pages: Mapping[bytes, RenderPage]
    ) -> None:
        """Create a listener; it starts listening when it is entered.

        :param address: host and port to listen on.
        :param pages: function that builds the answer, by request target.
        """
        self._address = address
        self._pages = pages

    async def _open(self, stack: AsyncExitStack) -> None:
        host, port = self._address
        server = await asyncio.get_running_loop().create_server(
            lambda: _StatusConnection(self._pages), host, port
        )
        stack.callback(server.close)


@final
class _StatusConnection(asyncio.Protocol):
    def __init__(self, pages: Mapping[bytes, RenderPage]) -> None:
        self._pages = pages
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._unanswered_bytes = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and wait for a request."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; close if they are not valid or too many."""
        self._unanswered_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._close()
        if self._unanswered_bytes > _MAX_REQUEST_BYTES:
            self._close()

    def on_message_begin(self) -> None:
        """Start a new request (called by the parser)."""
        self._target = b''

    def on_url(self, target: bytes) -> None:
        """Store a chunk of the target (called by the parser)."""
        self._target += target

    def on_message_complete(self) -> None:
        """Send the page or a 404 response (called by the parser)."""
        self._unanswered_bytes = 0
        page = self._pages.get(self._target.partition(b'?')[0])
        answer = _NOT_FOUND if page is None else page()
        lines = [b'HTTP/1.1 %d \r\n' % answer.status]
        lines.extend(b'%b: %b\r\n' % header for header in answer.headers)
        lines.append(b'content-length: %d\r\n\r\n' % len(answer.body))
        lines.append(answer.body)
        if self._transport is not None:
            self._transport.write(b''.join(lines))
            if not self._parser.should_keep_alive():
                self._close()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()
