"""Incremental parser of HTTP replies that accepts complete replies only."""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Final, final

import httptools

from .attempt import Reply
from .read_limits import (
    UNCOUNTED_BYTES,
    LimitExceeded,
    ReadBudget,
    ReadLimit,
    split_received,
)

__all__ = ('HeaderNames', 'ReplyReader', 'StreamState')

_FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))
_OLD_VERSION: Final = '1.0'
_BODILESS_STATUSES: Final = frozenset((204, 304))
_STATUSES: Final = range(100, 600)  # noqa: WPS432 -- status
_FIRST_FINAL_STATUS: Final = 200
_DECIMAL: Final = re.compile(rb'\d{1,9}(\.\d{0,40})?|\.\d{1,40}')
_TIMEOUT_SECONDS: Final = re.compile(rb'\d{1,9}')
_TIMEOUT_PARAMETER: Final = b'timeout='
_IS_LEAVING: Final = b'1'
_UNAVAILABLE: Final = 503
_RETRY_AFTER: Final = b'retry-after'
#: A server that asks for more is asked again after this time.
_MAX_QUIET_MS: Final = 3_600_000.0
_MS_PER_S: Final = 1000
#: The start of a reply.  Within a head it shows that an earlier reply was cut
#: off in its head and that this reply follows it.
_VERSION: Final = b'HTTP/1.'
_STATUS_LINE: Final = re.compile(rb'HTTP/1\.\d \d{3}')
#: Limits on the heads of one reply, its interim ones included.
_MAX_HEAD_BYTES: Final = 65_536
_MAX_HEADERS: Final = 256
_MAX_INTERIM_REPLIES: Final = 16
_MAX_BODY_BYTES: Final = 8_388_608
#: Chunk sizes and extensions may take this many times as much as the body, on
#: top of the limit for heads.
_MAX_FRAMING_RATIO: Final = 8


@final
@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the protocol's HTTP headers, in lower case.

    :ivar request_id: id of a request, echoed in the answer.
    :ivar time_left: milliseconds that the sender of a request still waits.
    :ivar stamp: signature of a server for one reply.
    :ivar target: the only server that may run the request.
    :ivar not_run: present if a server did not run the request.
    :ivar parts: signatures of the shard replies that an answer is merged
        from.
    :ivar missing: number of shards that the answer lacks.
    :ivar limit: requests a second that a server takes from all VMs together.
    :ivar leaving: ``1`` if a server takes no new work.
    """

    request_id: bytes
    time_left: bytes
    stamp: bytes
    target: bytes
    not_run: bytes
    parts: bytes
    missing: bytes
    limit: bytes
    leaving: bytes


@unique
class StreamState(Enum):
    """States of the byte stream of a connection."""

    OPEN = 'open'
    #: No further request may be sent on the connection.
    NOT_REUSABLE = 'last'
    BROKEN = 'broken'


class _StopParser(Exception):  # noqa: N818 -- no error
    """Raised in a callback to stop the parser; caught by the reader."""


@final
class ReplyReader:  # noqa: WPS214 -- callbacks of the parser
    """Parses the bytes of a connection into replies with their request ids.

    A reply with a length or chunked framing is complete when all of its body
    has arrived.  Any other reply is complete when the server closes the
    connection in order, but only if its head announced that and a body has
    arrived: otherwise the server may have ended within its head, or the head
    may have lost the header that says how long the body is.

    A head that contains the status line of another reply, or a status that
    HTTP does not have, breaks the stream.

    The reader reports every reply; the callback must ignore those whose id
    belongs to no pending request.  A reply that exceeds a limit breaks the
    stream.

    :ivar chunk_count: how many pieces of bodies were parsed.
    :ivar exceeded: limit that broke the stream, ``None`` if none did.
    :ivar has_begun_reply: whether bytes of a reply that is not complete have
        arrived; after a complete reply they belong to no request.
    :ivar is_head: whether the next reply has no body, whatever its head says,
        as only a head was asked for.
    :ivar idle_timeout_ms: how long the server keeps an idle connection open,
        as last stated in a keep-alive header; 0 if not stated.
    :ivar stream: state of the byte stream.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        on_reply: Callable[[bytes, Reply], None],
        budget: ReadBudget | None = None,
        on_dropped: Callable[[], None] | None = None,
    ) -> None:
        """Create a reader for a new connection.

        :param on_reply: called with the request id in the reply, empty if
            it has none, and the reply.
        :param budget: bounds the replies of all connections together.
        :param on_dropped: called if the budget drops the reply.
        """
        self.chunk_count = 0
        self.exceeded: LimitExceeded | None = None
        self.has_begun_reply = False
        self.is_head = False
        self.idle_timeout_ms: float = 0
        self.stream = StreamState.OPEN
        self._header_names = header_names
        self._on_reply = on_reply
        self._parser: Any = httptools.HttpResponseParser(self)
        self._reason = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._frame_bytes = 0
        self._frame_bytes_at_body = 0
        self._unparsed_bytes = 0
        self._is_counted = False
        self._header_count = 0
        self._interim_count = 0
        self._has_head = False
        self._ends_at_eof = False
        self._budget = budget or ReadBudget()
        self._on_dropped = on_dropped

    def feed(self, received: bytes | memoryview) -> StreamState:
        """Parse received bytes and return the state of the stream."""
        for piece in split_received(received):
            if self._parser is None or self.stream is StreamState.BROKEN:
                break
            self._feed_piece(piece)
        return self.stream

    def close(self) -> None:
        """Discard the reply that is being read; nothing more is parsed.

        What the parser keeps would otherwise stay until cycles are collected.
        """
        self._budget.release(self)
        self._headers = []
        self._body = bytearray()
        self._parser = None

    def drop(self, exceeded: LimitExceeded) -> None:
        """Discard the reply, as all replies together are too large."""
        self._exceed(exceeded.limit, exceeded.size)
        if self._on_dropped is not None:
            self._on_dropped()

    def note_unparsed(self, size: int) -> None:
        """Count bytes of the reply that were received and not parsed yet."""
        self._unparsed_bytes = size
        self._count_held()

    def feed_eof(self) -> None:
        """Handle an orderly close, which completes a reply without a length."""
        if self.has_begun_reply and self._ends_at_eof and self._body:
            self.on_message_complete()

    def on_message_begin(self) -> None:
        """Start a new reply (called by the parser)."""
        self._reason = b''
        self._headers = []
        self._header_count = 0
        self._has_head = False
        self.has_begun_reply = True

    def on_status(self, reason: bytes) -> None:
        """Add to the reason phrase (called by the parser)."""
        self._reason += reason

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header (called by the parser)."""
        self._check_not_joined(content)
        self._header_count += 1
        if self._header_count > _MAX_HEADERS:
            self._exceed(ReadLimit.HEADERS, self._header_count)
            raise _StopParser
        if not self._has_head:
            # Trailers, which follow the body, must not change what the head
            # said of the reply.
            self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Determine how the reply ends (called by the parser)."""
        self._has_head = True
        self._check_status_line()
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._ends_at_eof = False
            self._count_interim_reply()
        elif self.is_head:
            # The parser would wait for a body.
            self.stream = StreamState.NOT_REUSABLE
            self.on_message_complete()
            raise _StopParser
        else:
            self._find_end()

    def on_body(self, chunk: bytes) -> None:
        """Store a chunk of the body (called by the parser)."""
        self._frame_bytes -= len(chunk)
        self._frame_bytes_at_body = self._frame_bytes
        self.chunk_count += 1
        # One buffer, as small chunks kept apart take many times their size.
        self._body += chunk
        body_bytes = len(self._body)
        if body_bytes > _MAX_BODY_BYTES:
            self._exceed(ReadLimit.BODY_BYTES, body_bytes)
        elif body_bytes > UNCOUNTED_BYTES:
            self._count_held()
        if self.exceeded is not None:
            raise _StopParser

    def on_message_complete(self) -> None:
        """Report a complete reply (called by the parser)."""
        status = self._parser.get_status_code()
        if not self.has_begun_reply or status < _FIRST_FINAL_STATUS:
            return
        self.has_begun_reply = False
        self._frame_bytes = 0
        self._frame_bytes_at_body = 0
        self._interim_count = 0
        if self._is_counted:
            self._is_counted = False
            self._budget.release(self)
        if not self._parser.should_keep_alive():
            self.stream = StreamState.NOT_REUSABLE
        headers = dict(self._headers)
        body = bytes(self._body)
        self._body = bytearray()
        self._read_keep_alive(headers.get(b'keep-alive', b''))
        header_names = self._header_names
        self._on_reply(
            self._read_request_id(headers),
            Reply(
                status=status,
                headers=tuple(self._headers),
                body=body,
                stamp=headers.get(header_names.stamp, b'').decode('latin-1'),
                ran=header_names.not_run not in headers,
                is_encoded=b'content-encoding' in headers,
                limit_per_s=_read_rate(headers.get(header_names.limit)),
                is_leaving=headers.get(header_names.leaving, b'').strip()
                == _IS_LEAVING,
                quiet_ms=(
                    _read_delay_ms(headers.get(_RETRY_AFTER, b''))
                    if status == _UNAVAILABLE
                    else 0
                ),
            ),
        )

    def _feed_piece(self, received: bytes | memoryview) -> None:
        self._frame_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError:
            self.stream = StreamState.BROKEN
        except httptools.HttpParserUpgrade:
            self.stream = StreamState.BROKEN
        if self._frame_bytes > _MAX_HEAD_BYTES:
            self._check_frame_bytes()
        if self._frame_bytes > UNCOUNTED_BYTES and not self.exceeded:
            self._count_held()

    def _count_held(self) -> None:
        """Count the body, what the parser may keep, and what it has not had."""
        in_succession = self._frame_bytes - self._frame_bytes_at_body
        held_bytes = len(self._body) + in_succession + self._unparsed_bytes
        self._is_counted = True
        self._budget.hold(self, held_bytes)

    def _count_interim_reply(self) -> None:
        self._interim_count += 1
        if self._interim_count > _MAX_INTERIM_REPLIES:
            self._exceed(ReadLimit.INTERIM_REPLIES, self._interim_count)
            raise _StopParser

    def _find_end(self) -> None:
        """Determine whether the body ends with the connection."""
        is_framed = any(name in _FRAMING_HEADERS for name, _ in self._headers)
        is_bodiless = self._parser.get_status_code() in _BODILESS_STATUSES
        self._ends_at_eof = not (is_framed or is_bodiless)
        if self._ends_at_eof:
            self.stream = StreamState.NOT_REUSABLE
            if not self._announces_close():
                raise _StopParser

    def _check_status_line(self) -> None:
        """Break the stream if the status line is not that of one reply."""
        if self._parser.get_status_code() not in _STATUSES:
            self.stream = StreamState.BROKEN
            raise _StopParser
        self._check_not_joined(self._reason)

    def _check_not_joined(self, content: bytes) -> None:
        """Break the stream if a part of the head holds a status line."""
        # Most parts fail the test that needs no regular expression.
        if _VERSION in content and _STATUS_LINE.search(content):
            self.stream = StreamState.BROKEN
            raise _StopParser

    def _announces_close(self) -> bool:
        """Whether the head says that the connection ends with the reply."""
        options = {
            option.strip().lower()
            for name, content in self._headers
            if name == b'connection'
            for option in content.split(b',')
        }
        if self._parser.get_http_version() == _OLD_VERSION:
            return b'keep-alive' not in options
        return b'close' in options

    def _check_frame_bytes(self) -> None:
        """Break the stream if too many bytes belong to no body.

        Those in succession may be one trailer, which the parser keeps.
        """
        body_bytes = len(self._body)
        in_succession = self._frame_bytes - self._frame_bytes_at_body
        if not body_bytes:
            self._exceed(ReadLimit.HEAD_BYTES, self._frame_bytes)
        elif (
            in_succession > _MAX_HEAD_BYTES
            or self._frame_bytes
            > _MAX_HEAD_BYTES + _MAX_FRAMING_RATIO * body_bytes
        ):
            self._exceed(ReadLimit.FRAMING_BYTES, self._frame_bytes)

    def _exceed(self, limit: ReadLimit, size: int) -> None:
        if self.exceeded is None:
            self.exceeded = LimitExceeded(limit, size)
        self.stream = StreamState.BROKEN
        self.close()

    def _read_request_id(self, headers: dict[bytes, bytes]) -> bytes:
        """Return the request id; none if the reply has several."""
        name = self._header_names.request_id
        request_id = headers.get(name, b'')
        is_ambiguous = any(
            header[0] == name and header[1] != request_id
            for header in self._headers
        )
        return b'' if is_ambiguous else request_id

    def _read_keep_alive(self, header: bytes) -> None:
        _, _, parameters = header.partition(_TIMEOUT_PARAMETER)
        digits = parameters.split(b',', 1)[0].strip()
        if _TIMEOUT_SECONDS.fullmatch(digits):
            self.idle_timeout_ms = int(digits) * _MS_PER_S


def _read_delay_ms(header: bytes) -> float:
    """Read a delay in seconds, 0 if it is none: a date, or unreadable."""
    if not _DECIMAL.fullmatch(header.strip()):
        return 0
    return min(_MAX_QUIET_MS, float(header) * _MS_PER_S)


def _read_rate(header: bytes | None) -> float | None:
    """Read a decimal rate, ``None`` if there is none.

    :returns: not a number if the header is not a rate.
    """
    if header is None:
        return None
    return float(header) if _DECIMAL.fullmatch(header.strip()) else math.nan
