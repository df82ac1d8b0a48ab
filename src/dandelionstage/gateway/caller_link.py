"""One connection from callers: reads requests and writes answers in turn."""

import asyncio
from collections.abc import Callable
from enum import Enum, unique
from http import HTTPStatus
from typing import Final, cast, final

import httptools

from ..catalog.routes import CallerLimits
from .clock import now_ms
from .reply_reader import HeaderNames
from .requests import Answer, CallerRequest, refusal

__all__ = ('CallerLink', 'LinkPhase')

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_KEPT_ALIVE: Final = b'connection: keep-alive\r\n'
_CLOSED: Final = b'connection: close\r\n'
_NEVER_MS: Final = float('inf')
_HEADER_OVERHEAD_BYTES: Final = 4
_REASONS: Final = {
    status.value: status.phrase.encode() for status in HTTPStatus
}


@unique
class LinkPhase(Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    READING = 'reading'
    SERVING = 'serving'
    CLOSED = 'closed'


@final
class CallerLink(asyncio.Protocol):  # noqa: WPS214 -- a protocol's callbacks
    """Serves one request at a time.

    A second request that arrives before the first is answered is not read:
    the connection is closed after the answer, so that it has surely not
    run.

    :ivar phase: what it is doing.
    :ivar since_ms: when that began, by the steady clock.
    """

    def __init__(
        self,
        names: HeaderNames,
        limits: Callable[[], CallerLimits],
        handle: 'Callable[[CallerRequest, Callable[[Answer], None]], None]',
        on_closed: 'Callable[[CallerLink], None]',
    ) -> None:
        """Prepare a connection.

        :param handle: serves a whole request and gives its answer once.
        """
        self.phase = LinkPhase.IDLE
        self.since_ms = now_ms()
        self.is_last = False
        self._names = names
        self._limits = limits
        self._handle = handle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request: CallerRequest | None = None
        self._served = 0
        self._start_request()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a request."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, received: bytes) -> None:
        """Read what the caller sent."""
        if self.phase is LinkPhase.SERVING:
            self.is_last = True
            return
        if self.phase is LinkPhase.IDLE:
            self._enter(LinkPhase.READING)
        self._unread_head_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST, 'upgrades are not served')
        except httptools.HttpParserError as error:
            if self.phase is LinkPhase.READING:
                self._refuse(HTTPStatus.BAD_REQUEST, str(error))
            else:
                self.is_last = True
        if self.phase is LinkPhase.READING:
            self._check_head()
        elif self.is_last:
            self.close_if_idle()

    def eof_received(self) -> None:
        """Take in that the caller closed."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop what was done for a caller that is gone."""
        self._enter(LinkPhase.CLOSED)
        request, self._request = self._request, None
        if request is not None and request.on_gone is not None:
            on_gone, request.on_gone = request.on_gone, None
            on_gone()
        self._on_closed(self)

    def close_if_idle(self) -> None:
        """Close in order unless a request is read or served."""
        if self.phase is LinkPhase.IDLE and self._transport is not None:
            self._transport.close()

    def close_if_overdue(self, at_ms: float) -> None:
        """Close when the caller takes too long."""
        limits = self._limits()
        waited_ms = at_ms - self.since_ms
        if self.phase is LinkPhase.READING:
            if waited_ms > limits.header_timeout_ms:
                self._refuse(HTTPStatus.REQUEST_TIMEOUT, 'request too slow')
        elif waited_ms > limits.idle_timeout_ms:
            self.close_if_idle()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Start a request (called by the parser)."""
        if self._is_whole or self.phase is not LinkPhase.READING:
            self._is_whole = True
            self.is_last = True
            return
        self._start_request()

    def on_url(self, target: bytes) -> None:
        """Keep a piece of the target (called by the parser)."""
        if not self._is_whole:
            self._target += target

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header (called by the parser)."""
        if not self._is_whole:
            self._headers.append((name.lower(), content))
            self._head_bytes += (
                len(name) + len(content) + _HEADER_OVERHEAD_BYTES
            )

    def on_headers_complete(self) -> None:
        """Let a caller that waits for it send the body (by the parser)."""
        if self._is_whole or self._transport is None:
            return
        self._has_head = True
        expected = dict(self._headers).get(b'expect', b'').lower()
        if expected == b'100-continue':
            self._transport.write(_CONTINUE)

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body (called by the parser)."""
        if self._is_whole:
            return
        self._body_bytes += len(piece)
        if self._body_bytes <= self._limits().body_bytes:
            self._body.append(piece)

    def on_message_complete(self) -> None:
        """Serve a whole request (called by the parser)."""
        if self._is_whole or self.phase is not LinkPhase.READING:
            return
        self._is_whole = True
        if not self._parser.should_keep_alive():
            self.is_last = True
        if not self._check_head() or self._refused_headers():
            return
        self._serve()

    def _start_request(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._unread_head_bytes = 0
        self._has_head = False
        self._is_whole = False

    def _check_head(self) -> bool:
        """Refuse what is larger than the limits; tell whether it is not."""
        limits = self._limits()
        head_bytes = max(self._head_bytes, len(self._target))
        if not self._has_head:
            head_bytes = max(head_bytes, self._unread_head_bytes)
        if head_bytes > limits.header_bytes:
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'head too large'
            )
            return False
        if self._body_bytes > limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'body too large')
            return False
        return True

    def _refused_headers(self) -> bool:
        found = dict(self._headers)
        hosts = [name for name, _ in self._headers if name == b'host']
        fault = ''
        if len(hosts) != 1:
            fault = 'one host header is needed'
        elif not self._target.startswith(b'/'):
            fault = 'the target must be a path'
        elif not found.get(self._names.request_id):
            fault = 'a request id is needed'
        elif not found.get(self._names.time_left, b'0').isdigit():
            fault = 'the deadline must be whole milliseconds'
        if fault:
            self._refuse(HTTPStatus.BAD_REQUEST, fault)
        return bool(fault)

    def _serve(self) -> None:
        found = dict(self._headers)
        host = found[b'host'].decode('latin-1').lower().partition(':')[0]
        time_left = found.get(self._names.time_left)
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            host=host,
            headers=tuple(self._headers),
            body=b''.join(self._body),
            request_id=found[self._names.request_id],
            time_left_ms=float(time_left) if time_left else _NEVER_MS,
            arrived_ms=self.since_ms,
            is_kept=self._served > 0,
        )
        self._served += 1
        self._request = request
        self._enter(LinkPhase.SERVING)
        self._handle(request, self._give)

    def _give(self, answer: Answer) -> None:
        if self.phase is not LinkPhase.SERVING or self._transport is None:
            return
        if self._request is not None:
            # The run and its request refer to each other until here.
            self._request.on_gone = None
            self._request = None
        self._write(answer)
        if self.is_last or self._transport.is_closing():
            self._transport.close()
        else:
            self._start_request()
        self._enter(LinkPhase.IDLE)

    def _refuse(self, status: HTTPStatus, reason: str) -> None:
        """Answer what cannot be served and read no further."""
        if self._transport is None or self._transport.is_closing():
            return
        self.is_last = True
        self._is_whole = True
        self._write(refusal(status, reason))
        self._transport.close()

    def _write(self, answer: Answer) -> None:
        assert self._transport is not None  # noqa: S101 -- open by now
        lines = [
            b'HTTP/1.1 %d %b\r\n'
            % (answer.status, _REASONS.get(answer.status, b''))
        ]
        lines.extend(b'%b: %b\r\n' % header for header in answer.headers)
        lines.append(_CLOSED if self.is_last else _KEPT_ALIVE)
        lines.append(b'content-length: %d\r\n\r\n' % len(answer.body))
        lines.append(answer.body)
        self._transport.write(b''.join(lines))

    def _enter(self, phase: LinkPhase) -> None:
        self.phase = phase
        self.since_ms = now_ms()
