"""Reads the platform's store over one persistent connection."""

import asyncio
import re
from collections.abc import Callable
from typing import Final, TypeVar, cast, final
from urllib.parse import urlencode

import msgspec

from ..catalog.positions import StoreRevision, era_of, revision_of
from ..gateway.attempt import Reply
from ..gateway.keep_alive import KeepAlive
from ..gateway.reply_reader import ReplyReader, StreamState
from .names import ERA_HEADER, HEADERS, RANGE_PATH, WATCH_PATH
from .store_bodies import Page, WatchResult, decode_page, decode_watch_result

__all__ = ('HistoryGone', 'StoreClient', 'StoreUnavailable')

_Body = TypeVar('_Body')

#: Status codes of HTTP; 410 means that the store dropped the history.
_OK: Final = 200
_GONE: Final = 410
#: The store answers in 4 ms, or in up to 100 times that when it is slow.
_ANSWER_TIMEOUT_S: Final = 0.9
#: A page of a large store takes longer than the answer to a watch.
_PAGE_TIMEOUT_S: Final = 2.0
_CONNECT_TIMEOUT_S: Final = 1.0
#: Short, because the revision is requested again soon.
_REVISION_TIMEOUT_S: Final = 0.5
#: No key has this prefix, so the page contains no items.
_UNUSED_PREFIX: Final = '-'
_MS_PER_S: Final = 1000
_ERA: Final = re.compile(rb'\d{1,6}')
#: Lets the kernel detect an unreachable store while a watch waits.
_KEEP_ALIVE: Final = KeepAlive(idle_s=1, interval_s=1, probe_count=2)


class StoreUnavailable(Exception):
    """The store gave no valid answer; the message says why.

    :ivar is_answered: whether it sent a whole HTTP reply.  A reset connection
        may come from the network.
    """

    def __init__(self, fault: str, *, is_answered: bool = True) -> None:
        """Store the fault."""
        super().__init__(fault)
        self.is_answered = is_answered


class HistoryGone(Exception):
    """The store no longer holds the requested part of its history.

    It has discarded it, or was restored from a copy and has another history.
    """


@final
class StoreClient:
    """A client of the store with one request at a time.

    A connection is closed after a time-out, because it may be dead.  The
    owner closes the client.
    """

    def __init__(self, host: str, port: int) -> None:
        """Store the address; the first request connects to it."""
        self._host = host
        self._port = port
        self._connection: _StoreConnection | None = None

    def close(self) -> None:
        """Close the connection; a request in progress fails."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()

    async def read_all(self, *, allow_stale: bool) -> list[Page]:
        """Read every item, page by page.

        The pages are not a snapshot: each has a revision of its own, in any
        order if the answers may be stale.  A watch from the lowest of them
        returns what some pages lack.

        :param allow_stale: accept an answer that is seconds old; it costs
            the store a tenth of a current one.
        The items of a store decide which servers are gone, so the pages come
        over a connection of their own, on which no reply to an earlier request
        can arrive.

        :raises StoreUnavailable: if an answer is missing or is not a page.
        """
        self.close()
        pages: list[Page] = []
        after = ''
        while after or not pages:
            query = {'prefix': '', 'after': after}
            if not after:
                query.pop('after')
            if allow_stale:
                query['serializable'] = '1'
            reply = await self._get(RANGE_PATH, query, _PAGE_TIMEOUT_S)
            page = _decode_reply(decode_page, reply)
            if not _follows(page, after, pages):
                self.close()
                raise StoreUnavailable('page does not follow the one before')
            pages.append(page)
            after = page.last_key
        return pages

    async def read_revision(self, *, allow_stale: bool) -> StoreRevision:
        """Read only the store's revision.

        :param allow_stale: accept a revision that is seconds old; it costs
            the store a tenth of the current one.
        :raises StoreUnavailable: if there is no valid answer.
        """
        query = {'prefix': _UNUSED_PREFIX}
        if allow_stale:
            query['serializable'] = '1'
        reply = await self._get(RANGE_PATH, query, _REVISION_TIMEOUT_S)
        return _decode_reply(decode_page, reply).as_of

    async def watch(self, after: StoreRevision, wait_ms: int) -> WatchResult:
        """Wait for changes after a revision.

        :returns: the changes, empty if there were none within ``wait_ms``.
        :raises StoreUnavailable: if the answer is missing or invalid.
        :raises HistoryGone: if the store no longer holds the changes.
        """
        query = {
            'prefix': '',
            'after': str(revision_of(after)),
            'waitMs': str(wait_ms),
        }
        timeout_s = wait_ms / _MS_PER_S + _ANSWER_TIMEOUT_S
        reply = await self._get(WATCH_PATH, query, timeout_s)
        watched = _decode_reply(decode_watch_result, reply)
        if era_of(watched.as_of) > era_of(after):
            # The same revision in another history.
            raise HistoryGone
        if era_of(watched.as_of) < era_of(after):
            raise StoreUnavailable('reply of an earlier history of the store')
        return watched

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> Reply:
        target = '{0}?{1}'.format(path, urlencode(query))
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                reply = await connection.get(target)
        except (OSError, EOFError, TimeoutError) as error:
            self.close()
            raise StoreUnavailable(repr(error), is_answered=False) from error
        if not connection.is_usable:
            self.close()
        return reply

    async def _connect(self) -> '_StoreConnection':
        if self._connection is None or not self._connection.is_usable:
            self.close()
            connection = _StoreConnection(
                '{0}:{1}'.format(self._host, self._port)
            )
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, self._host, self._port
                )
            self._connection = connection
        return self._connection


def _read_era(reply: Reply) -> int:
    """Return the era of the store's history, 0 if the reply names none.

    It rises each time that the store is restored from a copy.
    """
    era = dict(reply.headers).get(ERA_HEADER, b'')
    return int(era) if _ERA.fullmatch(era) else 0


def _follows(page: Page, after: str, pages: list[Page]) -> bool:
    """Whether a page follows the others, and is of the same history."""
    is_same_era = all(
        era_of(page.as_of) == era_of(other.as_of) for other in pages[:1]
    )
    return is_same_era and all(item.key > after for item in page.items)


def _decode_reply(decode: Callable[[bytes, int], _Body], reply: Reply) -> _Body:
    if reply.status == _GONE:
        raise HistoryGone
    if reply.status != _OK:
        raise StoreUnavailable('unexpected status {0}'.format(reply.status))
    try:
        return decode(reply.body, _read_era(reply))
    except (msgspec.MsgspecError, ValueError) as fault:
        raise StoreUnavailable('invalid body: {0}'.format(fault)) from fault


@final
class _StoreConnection(asyncio.Protocol):  # noqa: WPS214 -- callbacks
    """One connection to the store."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._reader = ReplyReader(HEADERS, self._handle_reply)
        self._transport: asyncio.Transport | None = None
        self._reply: asyncio.Future[Reply] | None = None
        self._has_surplus = False

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        transport = self._transport
        is_open = transport is not None and not transport.is_closing()
        is_clean = (
            self._reader.stream is StreamState.OPEN
            and not self._reader.has_begun_reply
        )
        return is_open and is_clean

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable keep-alive probes on the connection."""
        self._transport = cast(asyncio.Transport, transport)
        _KEEP_ALIVE.apply(transport)

    async def get(self, target: str) -> Reply:
        """Send a request and wait for the reply."""
        if self._transport is None:
            raise EOFError
        self._reply = asyncio.get_running_loop().create_future()
        head = 'GET {0} HTTP/1.1\r\nHost: {1}\r\n\r\n'
        self._transport.write(head.format(target, self._host).encode())
        return await self._reply

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; close if they answer no request.

        Such bytes may be a second copy of an earlier reply, which would be
        taken for the reply to the next request.
        """
        is_expected = self._reply is not None and not self._reply.done()
        state = self._reader.feed(received) if is_expected else None
        if state in {None, StreamState.BROKEN} or self._has_surplus:
            self._fail_pending()
            self.close()

    def eof_received(self) -> None:
        """Handle an orderly close by the store."""
        self._reader.feed_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self._fail_pending()

    def close(self) -> None:
        """Close the connection immediately."""
        self._reader.close()
        if self._transport is not None:
            self._transport.abort()

    def _handle_reply(self, request_id: bytes, reply: Reply) -> None:
        if self._reply is None or self._reply.done():
            self._has_surplus = True
        else:
            self._reply.set_result(reply)

    def _fail_pending(self) -> None:
        if self._reply is not None and not self._reply.done():
            self._reply.set_exception(EOFError('connection lost'))
