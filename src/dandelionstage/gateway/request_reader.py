"""Reads one request after the other from a caller's connection."""

from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import Final, final

import httptools

from ..catalog.routes import CallerLimits
from .reply_reader import HeaderNames
from .requests import CallerRequest, Headers

__all__ = ('Fault', 'Reading', 'RequestReader')

_NEVER_MS: Final = float('inf')
#: Colon, space and line end of a header.
_HEADER_FRAME_BYTES: Final = 4


@final
@dataclass(frozen=True, slots=True)
class Fault:
    """Why a request is refused before it is routed."""

    status: HTTPStatus
    reason: str


@unique
class Reading(Enum):
    """How far the reading of a request is."""

    HEAD = 'head'
    BODY = 'body'
    WHOLE = 'whole'


@final
class RequestReader:  # noqa: WPS214 -- callbacks of the parser
    """Gathers what the parser finds into a request.

    It takes one request until :meth:`restart`; what follows it meanwhile is
    not taken in and shows in ``has_more``.

    :ivar reading: how far the present request is.
    :ivar has_more: whether bytes of another request were seen.
    """

    def __init__(self, header_names: HeaderNames) -> None:
        """Start with a new connection."""
        self.has_more = False
        self._names = header_names
        self._parser = httptools.HttpRequestParser(self)
        self.restart()

    def restart(self) -> None:
        """Take in the next request."""
        self.reading = Reading.HEAD
        self._target: list[bytes] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0

    @property
    def keeps_alive(self) -> bool:
        """Whether the caller lets the connection be used on."""
        return bool(self._parser.should_keep_alive())

    @property
    def wants_continue(self) -> bool:
        """Whether the caller waits for leave to send the body."""
        if self.reading is not Reading.BODY:
            return False
        expected = dict(self._headers).get(b'expect', b'')
        return expected.lower() == b'100-continue'

    def feed(self, received: bytes) -> Fault | None:
        """Take in bytes; tell what is wrong with the request."""
        if self.reading is Reading.HEAD:
            self._head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            return Fault(HTTPStatus.BAD_REQUEST, 'upgrades are not served')
        except httptools.HttpParserError as error:
            return Fault(HTTPStatus.BAD_REQUEST, str(error))
        return None

    def oversize(self, limits: CallerLimits) -> Fault | None:
        """Tell whether what was read so far is larger than the limits."""
        if self._head_bytes > limits.header_bytes:
            return Fault(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'head too large'
            )
        if self._body_bytes > limits.body_bytes:
            return Fault(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body too large')
        return None

    def improper(self) -> Fault | None:
        """Tell what a whole request lacks."""
        found = dict(self._headers)
        host_count = sum(name == b'host' for name, _ in self._headers)
        reason = ''
        if host_count != 1:
            reason = 'one host header is needed'
        elif not b''.join(self._target).startswith(b'/'):
            reason = 'the target must be a path'
        elif not found.get(self._names.request_id):
            reason = 'a request id is needed'
        elif not found.get(self._names.time_left, b'0').isdigit():
            reason = 'the deadline must be whole milliseconds'
        return Fault(HTTPStatus.BAD_REQUEST, reason) if reason else None

    def request(self, arrived_ms: float) -> CallerRequest:
        """Return the whole request."""
        headers: Headers = tuple(self._headers)
        found = dict(headers)
        time_left = found.get(self._names.time_left)
        host = found[b'host'].decode('latin-1').lower()
        return CallerRequest(
            method=self._parser.get_method(),
            target=b''.join(self._target),
            host=host.partition(':')[0],
            headers=headers,
            body=b''.join(self._body),
            request_id=found[self._names.request_id],
            time_left_ms=float(time_left) if time_left else _NEVER_MS,
            arrived_ms=arrived_ms,
        )

    def on_message_begin(self) -> None:
        """Note the start of a request (called by the parser)."""
        if self.reading is Reading.WHOLE:
            self.has_more = True

    def on_url(self, piece: bytes) -> None:
        """Keep a piece of the target (called by the parser)."""
        if self.reading is not Reading.WHOLE:
            self._target.append(piece)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header (called by the parser)."""
        if self.reading is not Reading.WHOLE:
            self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Count the head without what of the body came with it."""
        if self.reading is Reading.WHOLE:
            return
        self.reading = Reading.BODY
        self._head_bytes = sum(map(len, self._target)) + sum(
            len(name) + len(content) + _HEADER_FRAME_BYTES
            for name, content in self._headers
        )

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body (called by the parser)."""
        if self.reading is not Reading.WHOLE:
            self._body_bytes += len(piece)
            self._body.append(piece)

    def on_message_complete(self) -> None:
        """Note that the request is whole (called by the parser)."""
        self.reading = Reading.WHOLE
