"""Reads the platform's store over one connection that is kept open."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeVar, cast, final
from urllib.parse import urlencode

import msgspec

from ..catalog.servers import StoreRevision
from ..gateway.attempt import Reply
from ..gateway.keep_alive import KeepAlive
from ..gateway.reply_reader import ReplyReader, StreamState
from .names import HEADERS, RANGE_PATH, WATCH_PATH
from .store_bodies import Page, Watched, read_page, read_watched

__all__ = ('HistoryGone', 'StoreClient', 'StoreUnavailable')

_Body = TypeVar('_Body')

_OK: Final = 200
_GONE: Final = 410
#: The store answers in 4 ms, and in up to a hundred times that when slow.
_ANSWER_TIMEOUT_S: Final = 0.9
#: Pages of a large store take longer than a watch.
_PAGE_TIMEOUT_S: Final = 2.0
_CONNECT_TIMEOUT_S: Final = 1.0
#: A question for the revision alone is asked again soon anyway.
_REVISION_TIMEOUT_S: Final = 0.5
#: No key begins so.
_NO_KEY: Final = '-'
_MS_PER_S: Final = 1000
#: The kernel finds a store that is cut off while a watch waits.
_KEEP_ALIVE: Final = KeepAlive(idle_s=1, interval_s=1, probe_count=2)


class StoreUnavailable(Exception):
    """The store did not answer; the message says how."""


class HistoryGone(Exception):
    """The store no longer holds the history asked for."""


@final
class StoreClient:
    """Asks one thing at a time.

    A connection on which an answer did not come in time is closed, as
    nothing more may come on it.  The owner closes the client.
    """

    def __init__(self, host: str, port: int) -> None:
        """Connect on the first call."""
        self._host = host
        self._port = port
        self._line: _Line | None = None

    def close(self) -> None:
        """Close the connection; a call in progress fails."""
        line = self._line
        self._line = None
        if line is not None:
            line.close()

    async def read_all(self, *, may_be_old: bool) -> list[Page]:
        """Read every item, page by page.

        The pages are no snapshot: a watch from the first page's revision
        tells what changed meanwhile.

        :param may_be_old: take an answer that is seconds old, at a tenth of
            the price.
        :raises StoreUnavailable: when an answer is missing or no page.
        """
        pages: list[Page] = []
        after = ''
        while after or not pages:
            query = {'prefix': '', 'after': after}
            if not after:
                query.pop('after')
            if may_be_old:
                query['serializable'] = '1'
            reply = await self._get(RANGE_PATH, query, _PAGE_TIMEOUT_S)
            page = _decoded(read_page, reply)
            pages.append(page)
            after = page.last_key
        return pages

    async def revision(self) -> StoreRevision:
        """Ask only how far the store is, at a tenth of the price of a read.

        :returns: perhaps a little old.
        :raises StoreUnavailable: when there is no answer.
        """
        query = {'prefix': _NO_KEY, 'serializable': '1'}
        reply = await self._get(RANGE_PATH, query, _REVISION_TIMEOUT_S)
        return _decoded(read_page, reply).as_of

    async def watch(self, after: StoreRevision, wait_ms: int) -> Watched:
        """Wait for changes after a revision; none after ``wait_ms``.

        :raises StoreUnavailable: when an answer is missing or unreadable.
        :raises HistoryGone: when the changes are no longer known.
        """
        query = {'prefix': '', 'after': str(after), 'waitMs': str(wait_ms)}
        timeout_s = wait_ms / _MS_PER_S + _ANSWER_TIMEOUT_S
        reply = await self._get(WATCH_PATH, query, timeout_s)
        return _decoded(read_watched, reply)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> Reply:
        target = '{0}?{1}'.format(path, urlencode(query))
        try:
            async with asyncio.timeout(timeout_s):
                line = await self._open_line()
                reply = await line.get(target)
        except (OSError, EOFError, TimeoutError) as error:
            self.close()
            raise StoreUnavailable(repr(error)) from error
        if not line.is_usable:
            self.close()
        return reply

    async def _open_line(self) -> '_Line':
        if self._line is None or not self._line.is_usable:
            self.close()
            line = _Line('{0}:{1}'.format(self._host, self._port))
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: line, self._host, self._port
                )
            self._line = line
        return self._line


def _decoded(decode: Callable[[bytes], _Body], reply: Reply) -> _Body:
    if reply.status == _GONE:
        raise HistoryGone
    if reply.status != _OK:
        raise StoreUnavailable('status {0}'.format(reply.status))
    try:
        return decode(reply.body)
    except msgspec.MsgspecError as fault:
        raise StoreUnavailable('unreadable: {0}'.format(fault)) from fault


@final
class _Line(asyncio.Protocol):  # noqa: WPS214 -- a protocol's callbacks
    """One connection to the store."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._reader = ReplyReader(HEADERS, self._receive)
        self._transport: asyncio.Transport | None = None
        self._reply: asyncio.Future[Reply] | None = None

    @property
    def is_usable(self) -> bool:
        """Whether another call may be made on it."""
        transport = self._transport
        is_open = transport is not None and not transport.is_closing()
        return is_open and self._reader.stream is StreamState.OPEN

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have the kernel look after the connection."""
        self._transport = cast(asyncio.Transport, transport)
        _KEEP_ALIVE.apply(transport)

    async def get(self, target: str) -> Reply:
        """Ask, and wait for the reply."""
        if self._transport is None:
            raise EOFError
        self._reply = asyncio.get_running_loop().create_future()
        head = 'GET {0} HTTP/1.1\r\nHost: {1}\r\n\r\n'
        self._transport.write(head.format(target, self._host).encode())
        return await self._reply

    def data_received(self, received: bytes) -> None:
        """Read what came."""
        if self._reader.feed(received) is StreamState.BROKEN:
            self._fail()

    def eof_received(self) -> None:
        """Take in that the store closed in order."""
        self._reader.feed_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what still waits."""
        self._fail()

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _receive(self, request_id: bytes, reply: Reply) -> None:
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(reply)

    def _fail(self) -> None:
        if self._reply is not None and not self._reply.done():
            self._reply.set_exception(EOFError('connection lost'))
