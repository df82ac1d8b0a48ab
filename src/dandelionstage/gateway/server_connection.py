"""Connection to a backend server that carries one request at a time."""

import asyncio
from collections.abc import Callable
from enum import Enum, unique
from typing import Final, cast, final

from .attempt import Attempt, NoReply, Reply
from .clock import now_ms
from .keep_alive import REGIONAL_KEEP_ALIVE
from .read_limits import PIECE_BYTES, OnLimitExceeded, ReadBudget
from .reply_reader import HeaderNames, ReplyReader, StreamState

__all__ = ('ConnectionState', 'ServerConnection')

#: An idle connection is not reused this long before the server closes it, as
#: the request could cross the close on the network.
_IDLE_CLOSE_MARGIN_MS: Final = 600.0
#: Chunks of bodies that a connection parses before it lets others do so.
_CHUNKS_PER_TURN: Final = 512


@unique
class ConnectionState(Enum):
    """States of a connection to a server."""

    OPENING = 'opening'
    IDLE = 'idle'
    BUSY = 'busy'
    CLOSED = 'closed'


@final
class ServerConnection(asyncio.Protocol):  # noqa: WPS214 -- callbacks
    """Sends one attempt at a time and matches the reply to it.

    :ivar state: current state.
    :ivar attempt: the attempt in progress, ``None`` when idle.
    """

    def __init__(  # noqa: WPS211 -- one for each callback
        self,
        header_names: HeaderNames,
        on_idle_or_closed: 'Callable[[ServerConnection], None]',
        budget: ReadBudget | None = None,
        on_limit_exceeded: OnLimitExceeded | None = None,
        on_reply: 'Callable[[Attempt, Reply], None] | None' = None,
        on_broken: 'Callable[[Attempt], None] | None' = None,
    ) -> None:
        """Create a connection that is not open yet.

        :param on_idle_or_closed: called when the connection can take another
            attempt or is closed.
        :param budget: bounds the replies of all connections together.
        :param on_limit_exceeded: called if the server exceeds a limit.
        :param on_reply: called with each reply to an attempt, also if the
            attempt was abandoned, before the attempt ends.
        :param on_broken: called, instead of ending the attempt in progress,
            if the server closes the connection.
        """
        self.state = ConnectionState.OPENING
        self.attempt: Attempt | None = None
        self._on_idle_or_closed = on_idle_or_closed
        self._on_limit_exceeded = on_limit_exceeded
        self._on_reply = on_reply
        self._on_broken = on_broken
        self._reader = ReplyReader(
            header_names, self._receive, budget, self._fail_as_bad_reply
        )
        self._transport: asyncio.Transport | None = None
        self._idle_since_ms = now_ms()
        self._got_reply = False
        self._got_foreign_reply = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable keep-alive and become ready for the first attempt."""
        self._transport = cast(asyncio.Transport, transport)
        REGIONAL_KEEP_ALIVE.apply(transport)
        if self.state is ConnectionState.CLOSED:
            transport.close()
            return
        self._become_idle()

    def is_reusable(self, at_ms: float) -> bool:
        """Whether the server will keep an idle connection open long enough."""
        timeout_ms = self._reader.idle_timeout_ms
        if not timeout_ms:
            return True
        return at_ms - self._idle_since_ms < timeout_ms - _IDLE_CLOSE_MARGIN_MS

    def send(self, attempt: Attempt) -> None:
        """Send an attempt; the connection must be idle."""
        assert self._transport is not None  # noqa: S101 -- idle means open
        self.state = ConnectionState.BUSY
        self.attempt = attempt
        self._got_reply = False
        self._got_foreign_reply = False
        at_ms = now_ms()
        attempt.sent_ms = at_ms
        self._reader.is_head = attempt.is_head
        self._transport.write(
            attempt.build_request(attempt.deadline_ms - at_ms)
        )

    def close(self) -> None:
        """Close the connection; an attempt in progress ends as broken."""
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        self._reader.close()
        if self._transport is not None:
            self._transport.abort()
        self._fail_attempt(NoReply.BROKEN)
        self._on_idle_or_closed(self)

    def data_received(self, received: bytes) -> None:
        """Parse bytes from the server; close if they are unexpected."""
        if len(received) <= PIECE_BYTES:
            self._parse(received, is_last=True)
        else:
            self._parse_in_turns(memoryview(received))

    def eof_received(self) -> None:
        """Complete a reply that ends at end of stream, then close."""
        if self.state is ConnectionState.BUSY:
            self._reader.feed_eof()
        if self._got_reply:
            self.attempt = None
        self._close_as_broken()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt in progress as broken."""
        self._close_as_broken()

    def _parse_in_turns(self, received: memoryview) -> None:
        """Parse pieces; leave the rest for later after many small chunks.

        Load pattern: servers send replies of very many small chunks, on many
        connections at once.  Parsing all that was read on each takes seconds,
        in which the process does nothing else.
        """
        first_chunk = self._reader.chunk_count
        rest = received
        while rest and self.state is not ConnectionState.CLOSED:
            if self._reader.chunk_count - first_chunk > _CHUNKS_PER_TURN:
                self._parse_later(rest)
                return
            piece, rest = rest[:PIECE_BYTES], rest[PIECE_BYTES:]
            self._parse(piece, is_last=not rest)

    def _parse_later(self, rest: memoryview) -> None:
        """Read nothing more until the rest is parsed."""
        self._reader.note_unparsed(len(rest))
        if self.state is ConnectionState.CLOSED:
            # The replies of all connections together are too large.
            return
        if self._transport is not None:
            self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._parse_rest, rest)

    def _parse_rest(self, rest: memoryview) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self._reader.note_unparsed(0)
        if self._transport is not None:
            self._transport.resume_reading()
        self._parse_in_turns(rest)

    def _parse(self, received: bytes | memoryview, *, is_last: bool) -> None:
        """Parse one piece.

        :param is_last: whether nothing more was received with it; what
            follows a reply belongs to no request.
        """
        if self.state is not ConnectionState.BUSY:
            self.close()
            return
        self._reader.feed(received)
        if self._got_reply:
            self._got_foreign_reply = self._got_foreign_reply or not is_last
            self._reuse_or_close()
        elif self._reader.stream is StreamState.BROKEN:
            self._fail_as_bad_reply()

    def _close_as_broken(self) -> None:
        """Close, as the server has; report the attempt in progress."""
        attempt = self.attempt
        if self._on_broken is not None and attempt is not None:
            self.attempt = None
            self._on_broken(attempt)
        self.close()

    def _receive(self, request_id: bytes, reply: Reply) -> None:
        attempt = self.attempt
        if (
            attempt is None
            or self._got_reply
            or request_id != attempt.request_id
        ):
            # The reply belongs to no pending request.  From here on, only a
            # reply with the right id is accepted.
            self._got_foreign_reply = True
            return
        self._got_reply = True
        if self._on_reply is not None:
            self._on_reply(attempt, reply)
        attempt.end(reply)

    def _reuse_or_close(self) -> None:
        """Reuse the connection if it is in a known state, else close it."""
        transport = self._transport
        is_flushed = (
            transport is not None and not transport.get_write_buffer_size()
        )
        is_clean = (
            self._reader.stream is StreamState.OPEN
            and not self._reader.has_begun_reply
            and not self._got_foreign_reply
        )
        self.attempt = None
        if is_clean and is_flushed:
            self._become_idle()
        else:
            self.close()

    def _become_idle(self) -> None:
        self.state = ConnectionState.IDLE
        self._idle_since_ms = now_ms()
        self._on_idle_or_closed(self)

    def _fail_as_bad_reply(self) -> None:
        """End the attempt, and close, after bytes that are no reply."""
        if self.state is ConnectionState.CLOSED:
            return
        exceeded = self._reader.exceeded
        if exceeded is not None and self._on_limit_exceeded is not None:
            self._on_limit_exceeded(exceeded)
        self._fail_attempt(NoReply.BAD_REPLY)
        self.close()

    def _fail_attempt(self, reason: NoReply) -> None:
        attempt = self.attempt
        self.attempt = None
        if attempt is not None:
            attempt.end(reason)
