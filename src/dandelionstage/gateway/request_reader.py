"""Incremental parser of the HTTP requests on a connection from a caller."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import Any, Final, final

import httptools

from ..catalog.routes import CallerLimits
from .read_limits import (
    HEADER_OVERHEAD_BYTES,
    UNCOUNTED_BYTES,
    LimitExceeded,
    ReadBudget,
    split_received,
)
from .reply_reader import HeaderNames
from .requests import CallerRequest, Headers

__all__ = ('ReadStage', 'RequestFault', 'RequestReader')

_UNLIMITED_MS: Final = float('inf')
#: Colon and line end of a header line.
_HEADER_FRAME_BYTES: Final = 3
#: Chunk sizes and extensions may take this many times as much as the body, on
#: top of the limit for the head.
_MAX_FRAMING_RATIO: Final = 8


@final
@dataclass(frozen=True, slots=True)
class RequestFault:
    """Error response to a request that is refused before routing.

    :ivar status: HTTP status of the response.
    :ivar reason: error text in the response.
    """

    status: HTTPStatus
    reason: str


@unique
class ReadStage(Enum):
    """Stages of reading a request."""

    HEAD = 'head'
    BODY = 'body'
    COMPLETE = 'whole'


@final
class RequestReader:  # noqa: WPS214 -- callbacks of the parser
    """Assembles a request from the events of the parser.

    The reader holds one request until :meth:`start_next` is called, and counts
    the memory that it takes until then.  The content of a pipelined request
    that arrives before that is discarded and only noted in ``has_pipelined``.

    :ivar stage: how much of the current request was read.
    :ivar has_pipelined: whether the start of another request was seen while
        a request was held.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        budget: ReadBudget | None = None,
        on_dropped: Callable[[LimitExceeded], None] | None = None,
    ) -> None:
        """Create a reader for a new connection.

        :param budget: bounds the requests of all connections together.
        :param on_dropped: called if the budget drops the request.
        """
        self.has_pipelined = False
        self._on_dropped = on_dropped
        self._budget = budget or ReadBudget()
        self._exceeded: LimitExceeded | None = None
        self._header_names = header_names
        self._parser: Any = httptools.HttpRequestParser(self)
        self.start_next()

    def start_next(self) -> None:
        """Discard the current request and wait for the next."""
        self.stage = ReadStage.HEAD
        self._target: list[bytes] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_bytes = 0
        self._held_bytes = 0
        self._frame_bytes = 0
        self._frame_bytes_at_body = 0
        self._budget.release(self)

    def close(self) -> None:
        """Discard the request that is being read; nothing more is parsed.

        What the parser keeps would otherwise stay until cycles are collected.
        """
        self._budget.release(self)
        self._headers = []
        self._body = bytearray()
        self._parser = None

    def drop(self, exceeded: LimitExceeded) -> None:
        """Refuse the request, as all requests together are too large."""
        self._exceeded = exceeded
        self.close()
        if self._on_dropped is not None:
            self._on_dropped(exceeded)

    @property
    def keeps_alive(self) -> bool:
        """Whether the request permits reuse of the connection."""
        return bool(self._parser.should_keep_alive())

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue`` to send the body."""
        if self.stage is not ReadStage.BODY:
            return False
        expectation = dict(self._headers).get(b'expect', b'')
        return expectation.lower() == b'100-continue'

    def feed(self, received: bytes) -> RequestFault | None:
        """Parse received bytes; return a fault if they are not valid HTTP."""
        for piece in split_received(received):
            if self._parser is None:
                return None
            fault = self._feed_piece(piece)
            if fault is not None:
                return fault
        if self._held_bytes > UNCOUNTED_BYTES and self._exceeded is None:
            self._budget.hold(self, self._held_bytes)
        return None

    def check_size(self, limits: CallerLimits) -> RequestFault | None:
        """Return a fault if the head or body read so far exceeds its limit."""
        if self._exceeded is not None:
            return RequestFault(
                HTTPStatus.SERVICE_UNAVAILABLE, self._exceeded.limit.value
            )
        framing_bytes = self._frame_bytes - self._head_bytes
        # Those in succession may be one trailer, which the parser keeps.
        in_succession = self._frame_bytes - max(
            self._frame_bytes_at_body, self._head_bytes
        )
        if (
            max(self._head_bytes, in_succession) > limits.header_bytes
            or framing_bytes
            > limits.header_bytes + _MAX_FRAMING_RATIO * len(self._body)
        ):
            return RequestFault(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'head too large',
            )
        if len(self._body) > limits.body_bytes:
            return RequestFault(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body too large',
            )
        return None

    def check_complete(self) -> RequestFault | None:
        """Return a fault if a complete request has a bad target or header."""
        headers_by_name = dict(self._headers)
        host_count = sum(name == b'host' for name, _ in self._headers)
        reason = ''
        if host_count != 1:
            reason = 'one host header is needed'
        elif not b''.join(self._target).startswith(b'/'):
            reason = 'the target must be a path'
        elif not headers_by_name.get(self._header_names.request_id):
            reason = 'a request id is needed'
        elif not headers_by_name.get(
            self._header_names.time_left, b'0'
        ).isdigit():
            reason = 'the deadline must be whole milliseconds'
        return RequestFault(HTTPStatus.BAD_REQUEST, reason) if reason else None

    def build_request(self, arrived_ms: float) -> CallerRequest:
        """Return the complete request.

        :param arrived_ms: time of arrival by the monotonic clock.
        """
        headers: Headers = tuple(self._headers)
        headers_by_name = dict(headers)
        time_left = headers_by_name.get(self._header_names.time_left)
        host = headers_by_name[b'host'].decode('latin-1').lower()
        return CallerRequest(
            method=self._parser.get_method(),
            target=b''.join(self._target),
            host=host.partition(':')[0],
            headers=headers,
            body=bytes(self._body),
            request_id=headers_by_name[self._header_names.request_id],
            time_left_ms=float(time_left) if time_left else _UNLIMITED_MS,
            arrived_ms=arrived_ms,
        )

    def on_message_begin(self) -> None:
        """Note the start of a pipelined request (called by the parser)."""
        if self.stage is ReadStage.COMPLETE:
            self.has_pipelined = True

    def on_url(self, chunk: bytes) -> None:
        """Store a chunk of the target (called by the parser)."""
        if self.stage is not ReadStage.COMPLETE:
            self._target.append(chunk)
            self._held_bytes += len(chunk) + HEADER_OVERHEAD_BYTES

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header (called by the parser)."""
        if self.stage is not ReadStage.COMPLETE:
            self._headers.append((name.lower(), content))
            self._held_bytes += len(name) + len(content) + HEADER_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Set the size of the head, excluding body bytes received with it."""
        if self.stage is ReadStage.COMPLETE:
            return
        self.stage = ReadStage.BODY
        self._head_bytes = sum(map(len, self._target)) + sum(
            len(name) + len(content) + _HEADER_FRAME_BYTES
            for name, content in self._headers
        )

    def on_body(self, chunk: bytes) -> None:
        """Store a chunk of the body (called by the parser)."""
        if self.stage is not ReadStage.COMPLETE:
            self._frame_bytes -= len(chunk)
            self._frame_bytes_at_body = self._frame_bytes
            # One buffer, as small chunks kept apart take many times their size.
            self._body += chunk
            self._held_bytes += len(chunk)

    def on_message_complete(self) -> None:
        """Mark the request as complete (called by the parser)."""
        self.stage = ReadStage.COMPLETE

    def _feed_piece(self, received: bytes | memoryview) -> RequestFault | None:
        self._frame_bytes += len(received)
        if self.stage is ReadStage.HEAD:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            return RequestFault(
                HTTPStatus.BAD_REQUEST, 'upgrades are not served'
            )
        except httptools.HttpParserError as error:
            return RequestFault(HTTPStatus.BAD_REQUEST, str(error))
        return None
