"""A stand-in of one of the platform's backend servers."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import Final, final

from dandelionstage.gateway.clock import now_ms
from dandelionstage.lifecycle.resource_owner import ResourceOwner

from .http_port import Asked, HttpPort
from .stutter import Stutter

__all__ = ('PlatformServer', 'Run', 'ServerMode')

_MS_PER_S: Final = 1000
_RECORD_BYTES: Final = 16
#: A server that stutters fails one of so many runs.
_RUNS_PER_FAILURE: Final = 4
_STRAY_BODY: Final = b'x' * _RECORD_BYTES


@unique
class ServerMode(Enum):
    """How requests are treated."""

    WELL = 'well'
    #: Refuses as not run.
    SHED = 'shed'
    #: Runs, then fails.
    FAIL = 'fail'
    #: Runs, and the answer is lost with the connection.
    LOSE = 'lose'
    #: Takes requests and never answers.
    MUTE = 'mute'
    #: Sends an answer to another request first.
    STRAY = 'stray'
    #: Fails a part of what it runs, and sends the start of second answers.
    STUTTER = 'stutter'
    #: Runs, then answers with a status that HTTP does not have.
    NO_STATUS = 'no_status'


@final
@dataclass(frozen=True, slots=True)
class Run:
    """A request that the server began to work on."""

    request: str
    method: str
    target: str
    body: bytes
    time_left_ms: float


@final
class PlatformServer(  # noqa: WPS214 -- one server, short methods
    ResourceOwner
):
    """Works with a number of slots and notes what it ran.

    :ivar mode: how requests are treated; may be changed at any time.
    :ivar work_ms: time that one request takes.
    :ivar is_leaving: whether all its answers say that it is leaving.
    :ivar asked_quiet: when it refused a request and asked for quiet, the id of
        the request, and for how many milliseconds.
    :ivar quiet_s: delay that its refusals ask for, as in the header, if any.
    :ivar limit_per_s: rate of requests that its answers name, if any.
    :ivar body_bytes: size of its answers, whole records.
    :ivar deadly_target: target of the request that ends the server when it has
        worked on it, if any.
    :ivar down_s: how long the server is down after that.
    :ivar ended_ms: when it ended.
    :ivar runs: every request that it began.
    :ivar statuses: the status of each signed answer, by signature.
    :ivar arrived: when requests came, and their ids; refused ones too.
    :ivar at_work: requests that it works on now.
    """

    def __init__(self, server: str, address: tuple[str, int]) -> None:
        """Start well."""
        self.mode = ServerMode.WELL
        self.work_ms: float = 1
        self.is_leaving = False
        self.quiet_s: str | None = None
        self.asked_quiet: list[tuple[float, str, float]] = []
        self.limit_per_s: float | None = None
        self.body_bytes = 2 * _RECORD_BYTES
        self.deadly_target: str | None = None
        self.down_s: float = 1
        self.ended_ms: list[float] = []
        self._restart: asyncio.Task[None] | None = None
        self.server = server
        self.runs: list[Run] = []
        self.statuses: dict[str, HTTPStatus] = {}
        self._stutter = Stutter()
        self.arrived: list[tuple[float, str]] = []
        self.at_work = 0
        self.address = '{0}:{1}'.format(*address)
        self._slots = asyncio.Semaphore(2)
        self.port = HttpPort(*address, self._serve)

    def entry(
        self, service: str, zone: str, **more: object
    ) -> dict[str, object]:
        """Return what the server writes to the store of itself."""
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': 2,
            'state': 'ready',
            'warmupLeftMs': 0,
            'seq': 1,
            'born': 1,
            **more,
        }

    @property
    def arrivals(self) -> int:
        """Requests received, refused ones too."""
        return len(self.arrived)

    def end(self) -> None:
        """End like a process that is killed, and start again later."""
        if not self.port.is_listening:
            return
        self.ended_ms.append(now_ms())
        self.port.end()
        restart = self._start_again()
        self._restart = asyncio.get_running_loop().create_task(restart)

    async def _open(self, stack: AsyncExitStack) -> None:
        await stack.enter_async_context(self.port)
        stack.callback(self._cancel_restart)

    async def _start_again(self) -> None:
        await asyncio.sleep(self.down_s)
        await self.port.listen()

    def _cancel_restart(self) -> None:
        if self._restart is not None:
            self._restart.cancel()

    async def _serve(self, asked: Asked) -> bytes:
        request = asked.headers.get('x-request-id', '')
        self.arrived.append((now_ms(), request))
        if asked.headers.get('x-target-instance') != self.server:
            return self._refused(HTTPStatus.MISDIRECTED_REQUEST, request)
        if self.mode is ServerMode.SHED:
            return self._refused(HTTPStatus.SERVICE_UNAVAILABLE, request)
        self.at_work += 1
        try:
            return await self._run(asked, request)
        finally:
            self.at_work -= 1

    async def _run(self, asked: Asked, request: str) -> bytes:
        left_ms = float(asked.headers['x-request-deadline'])
        async with self._slots:
            self.runs.append(
                Run(request, asked.method, asked.target, asked.body, left_ms)
            )
            # Several runs may be in progress; each has a signature of its own.
            stamp = '{0}.{1}'.format(self.server, len(self.runs))
            if self.mode is ServerMode.MUTE:
                await asyncio.Event().wait()
            await asyncio.sleep(min(self.work_ms, left_ms) / _MS_PER_S)
        if asked.target == self.deadly_target:
            self.end()
            return b''
        if self.work_ms > left_ms:
            return self._failed(HTTPStatus.GATEWAY_TIMEOUT, request, stamp)
        return self._finished(request, stamp)

    def _finished(self, request: str, stamp: str) -> bytes:
        if self.mode is ServerMode.LOSE:
            return b'reset'
        if self.mode is ServerMode.FAIL:
            return self._failed(
                HTTPStatus.INTERNAL_SERVER_ERROR, request, stamp
            )
        if self.mode is ServerMode.NO_STATUS:
            return self._succeeded(request, stamp).replace(b'200', b'000', 1)
        if self.mode is not ServerMode.STUTTER:
            return self._succeeded(request, stamp)
        is_failed = len(self.runs) % _RUNS_PER_FAILURE == 0
        return self._stutter.spoil(
            self._failed(HTTPStatus.INTERNAL_SERVER_ERROR, request, stamp)
            if is_failed
            else self._succeeded(request, stamp)
        )

    def _failed(self, status: HTTPStatus, request: str, stamp: str) -> bytes:
        self.statuses[stamp] = status
        return _reply(
            status, request, stamp=stamp, extra=self._leaving_header()
        )

    def _succeeded(self, request: str, stamp: str) -> bytes:
        self.statuses[stamp] = HTTPStatus.OK
        record = stamp.encode().ljust(_RECORD_BYTES, b'.')[:_RECORD_BYTES]
        body = record * (self.body_bytes // _RECORD_BYTES)
        whole = _reply(
            HTTPStatus.OK,
            request,
            body,
            stamp=stamp,
            extra=self._limit_header() + self._leaving_header(),
        )
        if self.mode is ServerMode.STRAY:
            return _reply(HTTPStatus.OK, 'another', _STRAY_BODY) + whole
        return whole

    def _limit_header(self) -> str:
        if self.limit_per_s is None:
            return ''
        return 'Server-Limit: {0}\r\n'.format(self.limit_per_s)

    def _leaving_header(self) -> str:
        return 'Server-Leaving: 1\r\n' if self.is_leaving else ''

    def _refused(self, status: HTTPStatus, request: str) -> bytes:
        """Say that a request was not run."""
        extra = self._leaving_header() + self._quiet_header(status, request)
        return _reply(status, request, not_run=True, extra=extra)

    def _quiet_header(self, status: HTTPStatus, request: str) -> str:
        is_shed = status is HTTPStatus.SERVICE_UNAVAILABLE
        if self.quiet_s is None or not is_shed:
            return ''
        quiet_ms = float(self.quiet_s) * _MS_PER_S
        self.asked_quiet.append((now_ms(), request, quiet_ms))
        return 'Retry-After: {0}\r\n'.format(self.quiet_s)


def _reply(  # noqa: WPS211 -- one for each part
    status: HTTPStatus,
    request: str,
    body: bytes = b'',
    *,
    stamp: str = '',
    not_run: bool = False,
    extra: str = '',
) -> bytes:
    lines = ['HTTP/1.1 {0} {1}'.format(status.value, status.phrase)]
    lines.append('X-Request-Id: {0}'.format(request))
    lines.append('Content-Length: {0}'.format(len(body)))
    lines.append('Keep-Alive: timeout=10')
    if stamp:
        lines.append('X-Response-Stamp: {0}'.format(stamp))
    if not_run:
        lines.append('X-Not-Executed: 1')
    head = '\r\n'.join((*lines, extra, ''))
    return head.encode() + body
