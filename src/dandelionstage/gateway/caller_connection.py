"""One connection from callers: reads requests and writes answers in turn."""

import asyncio
from collections.abc import Callable
from enum import Enum, unique
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, cast, final

from ..catalog.routes import CallerLimits
from .clock import now_ms
from .delivery_times import DeliveryTimes, round_trip_ms
from .reply_reader import HeaderNames
from .request_reader import Fault, Reading, RequestReader
from .requests import Answer, CallerRequest, refusal

__all__ = ('CallerLink', 'Handle', 'LinkPhase', 'LinkTools')

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_KEPT_ALIVE: Final = b'connection: keep-alive\r\n'
_CLOSED: Final = b'connection: close\r\n'
_REASONS: Final = MappingProxyType(
    {status.value: status.phrase.encode() for status in HTTPStatus},
)

#: Serves a whole request and gives its answer once.
Handle = Callable[[CallerRequest, Callable[[Answer], None]], None]


@unique
class LinkPhase(Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    READING = 'reading'
    SERVING = 'serving'
    CLOSED = 'closed'


@final
class LinkTools:
    """What all connections from callers share.

    :ivar limits: what callers may send, as published now.
    :ivar handle: serves a request.
    :ivar unread_ms: how long bytes read now may have lain unread.
    :ivar deliveries: times answers on their way.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        limits: Callable[[], CallerLimits],
        handle: Handle,
        unread_ms: Callable[[float], float],
        delivery_times: DeliveryTimes,
    ) -> None:
        """Take what is shared."""
        self.header_names = header_names
        self.limits = limits
        self.handle = handle
        self.unread_ms = unread_ms
        self.delivery_times = delivery_times


@final
class CallerLink(asyncio.Protocol):  # noqa: WPS214 -- a protocol's callbacks
    """Serves one request at a time.

    A second request that arrives before the first is answered is not read:
    the connection is closed after the answer, so that it has surely not
    run.

    :ivar phase: what it is doing.
    :ivar since_ms: when that began, by the steady clock.
    :ivar is_last: whether the connection ends with the next answer.
    """

    def __init__(
        self,
        tools: LinkTools,
        on_closed: 'Callable[[CallerLink], None]',
    ) -> None:
        """Prepare a connection."""
        self.phase = LinkPhase.IDLE
        self.since_ms = now_ms()
        self.is_last = False
        self._tools = tools
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(tools.header_names)
        self._request: CallerRequest | None = None
        self._served = 0

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
        fault = self._read(received)
        if fault is not None:
            self._refuse(fault)
        elif self._reader.reading is Reading.WHOLE:
            self._serve()
        elif self._reader.wants_continue and self._transport is not None:
            self._transport.write(_CONTINUE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop what was done for a caller that is gone."""
        self._enter(LinkPhase.CLOSED)
        request = self._request
        self._request = None
        if request is not None and request.on_gone is not None:
            on_gone = request.on_gone
            request.on_gone = None
            on_gone()
        self._on_closed(self)

    def close_if_idle(self) -> None:
        """Close in order unless a request is read or served."""
        if self.phase is LinkPhase.IDLE and self._transport is not None:
            self._transport.close()

    def close_if_overdue(self, at_ms: float) -> None:
        """Close when the caller takes too long."""
        limits = self._tools.limits()
        waited_ms = at_ms - self.since_ms
        if self.phase is LinkPhase.READING:
            if waited_ms > limits.header_timeout_ms:
                self._refuse(
                    Fault(HTTPStatus.REQUEST_TIMEOUT, 'request too slow')
                )
        elif waited_ms > limits.idle_timeout_ms:
            self.close_if_idle()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _read(self, received: bytes) -> Fault | None:
        reader = self._reader
        fault = reader.feed(received)
        if reader.reading is Reading.WHOLE:
            # What follows a whole request is at fault, not the request.
            if reader.has_more or fault is not None:
                self.is_last = True
            fault = reader.improper()
        return fault or reader.oversize(self._tools.limits())

    def _serve(self) -> None:
        self.is_last = self.is_last or not self._reader.keeps_alive
        unread_ms = self._tools.unread_ms(now_ms())
        request = self._reader.request(self.since_ms - unread_ms)
        request.is_kept = self._served > 0
        if self._transport is not None:
            request.round_trip_ms = round_trip_ms(self._transport)
        self._served += 1
        self._request = request
        self._enter(LinkPhase.SERVING)
        self._tools.handle(request, self._give)

    def _give(self, answer: Answer) -> None:
        if self.phase is not LinkPhase.SERVING or self._transport is None:
            return
        request = self._request
        self._write(answer)
        if request is not None:
            # The run and its request refer to each other until here.
            request.on_gone = None
            self._request = None
            if request.timed_route is not None:
                self._tools.delivery_times.watch(
                    request.timed_route, self._transport
                )
        self._reader.restart()
        self._enter(LinkPhase.IDLE)
        if self.is_last:
            self._transport.close()

    def _refuse(self, fault: Fault) -> None:
        """Answer what cannot be served and read no further."""
        if self._transport is None or self._transport.is_closing():
            return
        self.is_last = True
        self._write(refusal(fault.status, fault.reason))
        self._transport.close()

    def _write(self, answer: Answer) -> None:
        lines = [
            b'HTTP/1.1 %d %b\r\n'
            % (answer.status, _REASONS.get(answer.status, b'')),
            *(b'%b: %b\r\n' % header for header in answer.headers),
            _CLOSED if self.is_last else _KEPT_ALIVE,
            b'content-length: %d\r\n\r\n' % len(answer.body),
            answer.body,
        ]
        if self._transport is not None:
            self._transport.write(b''.join(lines))

    def _enter(self, phase: LinkPhase) -> None:
        self.phase = phase
        self.since_ms = now_ms()
