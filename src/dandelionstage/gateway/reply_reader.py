"""Reads the replies on one connection and trusts none that is not whole."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

import httptools

from .attempt import Reply

__all__ = ('HeaderNames', 'ReplyReader', 'StreamState')

_BODILESS: Final = frozenset((204, 304))
_FIRST_FINAL_STATUS: Final = 200
_KEEP_ALIVE_TIMEOUT: Final = b'timeout='
_MS_PER_S: Final = 1000
_MAX_BODY_BYTES: Final = 8 * 1024 * 1024


@final
@dataclass(frozen=True, slots=True)
class HeaderNames:
    """What the headers that carry the protocol are called, in lower case.

    :ivar request_id: names a caller's request, echoed in its answer.
    :ivar time_left: milliseconds that the sender will wait.
    :ivar stamp: a server's signature of one reply.
    :ivar target: the server that alone may run a request.
    :ivar not_run: present if a server did not run a request.
    :ivar parts: the signatures of the parts in a gathered answer.
    :ivar missing: the number of shards left out of it.
    """

    request_id: bytes
    time_left: bytes
    stamp: bytes
    target: bytes
    not_run: bytes
    parts: bytes
    missing: bytes


@unique
class StreamState(Enum):
    """What is known of a connection after some bytes."""

    OPEN = 'open'
    #: No further request may be sent on it.
    LAST = 'last'
    BROKEN = 'broken'


@final
class ReplyReader:  # noqa: WPS214 -- callbacks of the parser
    """Turns a connection's bytes into replies, each with its request's id.

    A reply is whole when its length says so; one without a length is whole
    only when the server closes in order.  Replies with another id belong to
    no request that still waits and are skipped.

    :ivar idle_timeout_ms: how long the server keeps the connection idle, as
        last stated; 0 when it does not say.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        on_reply: Callable[[bytes, Reply], None],
    ) -> None:
        """Start with a new connection.

        :param on_reply: gets the id that the reply bears and the reply.
        """
        self.idle_timeout_ms: float = 0
        self.stream = StreamState.OPEN
        self._names = header_names
        self._on_reply = on_reply
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_open = False
        self._ends_with_stream = False

    def feed(self, received: bytes) -> StreamState:
        """Take in bytes; tell whether the connection can be used on."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError:
            self.stream = StreamState.BROKEN
        except httptools.HttpParserUpgrade:
            self.stream = StreamState.BROKEN
        return self.stream

    def feed_eof(self) -> None:
        """Take in that the server closed in order."""
        if self._is_open and self._ends_with_stream:
            self.on_message_complete()

    def on_message_begin(self) -> None:
        """Start a reply (called by the parser)."""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._is_open = True

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header (called by the parser)."""
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """See how the reply will end (called by the parser)."""
        header_names = {name for name, _ in self._headers}
        framed = (
            b'content-length' in header_names
            or b'transfer-encoding' in header_names
        )
        bodiless = self._parser.get_status_code() in _BODILESS
        self._ends_with_stream = not (framed or bodiless)
        if self._ends_with_stream:
            self.stream = StreamState.LAST

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body (called by the parser)."""
        self._body_bytes += len(piece)
        if self._body_bytes > _MAX_BODY_BYTES:
            self.stream = StreamState.BROKEN
            return
        self._body.append(piece)

    def on_message_complete(self) -> None:
        """Hand a whole reply over (called by the parser)."""
        status = self._parser.get_status_code()
        if not self._is_open or status < _FIRST_FINAL_STATUS:
            return
        self._is_open = False
        if not self._parser.should_keep_alive():
            self.stream = StreamState.LAST
        found = dict(self._headers)
        self._read_keep_alive(found.get(b'keep-alive', b''))
        header_names = self._names
        self._on_reply(
            found.get(header_names.request_id, b''),
            Reply(
                status=status,
                headers=tuple(self._headers),
                body=b''.join(self._body),
                stamp=found.get(header_names.stamp, b'').decode('latin-1'),
                ran=header_names.not_run not in found,
                is_encoded=b'content-encoding' in found,
            ),
        )

    def _read_keep_alive(self, stated: bytes) -> None:
        _, _, after = stated.partition(_KEEP_ALIVE_TIMEOUT)
        digits = after.split(b',', 1)[0].strip()
        if digits.isdigit():
            self.idle_timeout_ms = int(digits) * _MS_PER_S
