"""One connection to a backend server, with one request on it at a time."""

import asyncio
from collections.abc import Callable
from enum import Enum, unique
from typing import Final, cast, final

from .attempt import Attempt, NoReply, Reply
from .clock import now_ms
from .keep_alive import REGIONAL_KEEP_ALIVE
from .reply_reader import HeaderNames, ReplyReader, StreamState

__all__ = ('ConnectionState', 'ServerConnection')

#: A kept connection is not used when the server may be about to close it.
_IDLE_MARGIN_MS: Final = 600.0


@unique
class ConnectionState(Enum):
    """What a connection is doing."""

    OPENING = 'opening'
    IDLE = 'idle'
    BUSY = 'busy'
    CLOSED = 'closed'


@final
class ServerConnection(asyncio.Protocol):  # noqa: WPS214 -- callbacks
    """Sends one attempt at a time and gives it its own reply.

    :ivar state: what it is doing.
    :ivar attempt: the attempt now on it, ``None`` when idle.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        on_rest: 'Callable[[ServerConnection], None]',
    ) -> None:
        """Prepare a connection.

        :param on_rest: called when it can take a next attempt or is closed.
        """
        self.state = ConnectionState.OPENING
        self.attempt: Attempt | None = None
        self._on_rest = on_rest
        self._reader = ReplyReader(header_names, self._receive)
        self._transport: asyncio.Transport | None = None
        self._rested_ms = now_ms()
        self._replied = False
        self._strayed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Become ready for the first attempt."""
        self._transport = cast(asyncio.Transport, transport)
        REGIONAL_KEEP_ALIVE.apply(transport)
        if self.state is ConnectionState.CLOSED:
            transport.close()
            return
        self._rest()

    def is_fresh(self, at_ms: float) -> bool:
        """Whether an idle connection is surely not about to be closed."""
        allowed_ms = self._reader.idle_timeout_ms
        if not allowed_ms:
            return True
        return at_ms - self._rested_ms < allowed_ms - _IDLE_MARGIN_MS

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection."""
        assert self._transport is not None  # noqa: S101 -- idle means open
        self.state = ConnectionState.BUSY
        self.attempt = attempt
        self._replied = False
        self._strayed = False
        at_ms = now_ms()
        attempt.sent_ms = at_ms
        self._transport.write(attempt.send(attempt.deadline_ms - at_ms))

    def close(self) -> None:
        """Close; an attempt still on it is lost."""
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        if self._transport is not None:
            self._transport.abort()
        self._lose(NoReply.BROKEN)
        self._on_rest(self)

    def data_received(self, received: bytes) -> None:
        """Read what the server sent."""
        if self.state is not ConnectionState.BUSY:
            self.close()
            return
        self._reader.feed(received)
        if self._replied:
            self._settle()
        elif self._reader.stream is StreamState.BROKEN:
            self._lose(NoReply.BAD_REPLY)
            self.close()

    def eof_received(self) -> None:
        """Take in that the server closed in order; nothing more is sent."""
        if self.state is ConnectionState.BUSY:
            self._reader.feed_eof()
        if self._replied:
            self.attempt = None
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Lose what was still waiting."""
        self.close()

    def _receive(self, request_id: bytes, reply: Reply) -> None:
        attempt = self.attempt
        if attempt is None or self._replied or request_id != attempt.request_id:
            # It answers no request that waits here; nothing after it is
            # trusted but the reply that bears the right id.
            self._strayed = True
            return
        self._replied = True
        attempt.end(reply)

    def _settle(self) -> None:
        """Use the connection on only if nothing on it is in doubt."""
        transport = self._transport
        written = (
            transport is not None and not transport.get_write_buffer_size()
        )
        is_clean = self._reader.stream is StreamState.OPEN and not self._strayed
        self.attempt = None
        if is_clean and written:
            self._rest()
        else:
            self.close()

    def _rest(self) -> None:
        self.state = ConnectionState.IDLE
        self._rested_ms = now_ms()
        self._on_rest(self)

    def _lose(self, loss: NoReply) -> None:
        attempt = self.attempt
        self.attempt = None
        if attempt is not None:
            attempt.end(loss)
