"""A small HTTP port for those who ask about this process."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from http import HTTPStatus
from typing import Final, cast, final

import httptools

from ..lifecycle.owning import Owner
from .requests import Answer

__all__ = ('Page', 'StatusListener')

#: Makes the answer to one question.
Page = Callable[[], Answer]

_NOT_FOUND: Final = Answer(HTTPStatus.NOT_FOUND.value)


@final
class StatusListener(Owner):
    """Answers GET requests for a few fixed targets."""

    def __init__(
        self, address: tuple[str, int], pages: Mapping[bytes, Page]
    ) -> None:
        """Prepare; nothing listens before the port is entered.

        :param pages: what to answer for each target.
        """
        self._address = address
        self._pages = pages

    async def _open(self, stack: AsyncExitStack) -> None:
        host, port = self._address
        server = await asyncio.get_running_loop().create_server(
            lambda: _StatusLink(self._pages), host, port
        )
        stack.callback(server.close)


@final
class _StatusLink(asyncio.Protocol):
    def __init__(self, pages: Mapping[bytes, Page]) -> None:
        self._pages = pages
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a question."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, received: bytes) -> None:
        """Read a question."""
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._close()

    def on_message_begin(self) -> None:
        """Start a question (called by the parser)."""
        self._target = b''

    def on_url(self, target: bytes) -> None:
        """Keep a piece of the target (called by the parser)."""
        self._target += target

    def on_message_complete(self) -> None:
        """Answer (called by the parser)."""
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
