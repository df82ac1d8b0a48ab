"""A stand-in of a backend server that follows the protocol's page."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

from .http import Port, Request, now_s, read_request, response

#: Changes the bytes of a finished answer; gets the request and the answer.
Spoil = Callable[[Request, bytes], bytes]
#: Answers in place of the usual work.
Work = Callable[['Backend', Request], Awaitable[bytes]]


@dataclass
class Run:
    """A request that a backend began to work on, and its final status.

    :ivar end_s: when the work ended, ``None`` while it goes on.
    """

    request_id: str
    backend: str
    at_s: float
    stamp: str
    status: str = ''
    end_s: float | None = None


class Backend:
    """Answers the requests that name it, each connection one at a time.

    :ivar runs: what it began to work on.
    :ivar arrivals: time and id of every request, rejected ones too.
    :ivar work: replaces the usual work if set.
    :ivar spoil: changes the bytes of answers if set.
    """

    def __init__(
        self, name: str, service: str, host: str, port: int, work_ms: float = 5
    ) -> None:
        self.name = name
        self.service = service
        self.work_ms = work_ms
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.work: Work | None = None
        self.spoil: Spoil | None = None
        self.slots = 64
        self.at_work = 0
        self._numbers = itertools.count(1)
        self._address = '{0}:{1}'.format(host, port)
        self.port = Port(host, port, self._serve)

    def entry(self, zone: str, **more: object) -> dict[str, object]:
        """Return what the backend writes to the store about itself."""
        return {
            'service': self.service,
            'address': self._address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'warmupLeftMs': 0,
            'seq': 1,
            'born': 1_700_000_000_000,
            **more,
        }

    def begin(self, request: Request) -> Run:
        """Note that work on a request begins."""
        stamp = '{0}.{1}'.format(self.name, next(self._numbers))
        run = Run(request.headers['x-request-id'], self.name, now_s(), stamp)
        self.runs.append(run)
        return run

    def reject(self, request: Request, status: str) -> bytes:
        """Return an answer that says that the request has not run."""
        return response(
            status,
            {
                'X-Request-Id': request.headers.get('x-request-id', ''),
                'X-Not-Executed': '1',
            },
        )

    def answer(
        self, request: Request, run: Run, status: str, body: bytes
    ) -> bytes:
        """Return the signed answer of a run."""
        run.status = status
        run.end_s = now_s()
        return response(
            status,
            {
                'X-Request-Id': request.headers['x-request-id'],
                'X-Response-Stamp': run.stamp,
            },
            body,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            answering = asyncio.ensure_future(self._answer(request))
            # The peer sends nothing more before the answer but its close.
            closing = asyncio.ensure_future(reader.read(1))
            await asyncio.wait(
                (answering, closing), return_when=asyncio.FIRST_COMPLETED
            )
            if not answering.done():
                # The caller has closed the connection: the work is dropped.
                answering.cancel()
                return
            answer = answering.result()
            if self.spoil is not None:
                answer = self.spoil(request, answer)
            writer.write(answer)
            await writer.drain()
            if closing.done():
                return
            closing.cancel()
            with suppress(asyncio.CancelledError):
                await closing

    async def _answer(self, request: Request) -> bytes:
        request_id = request.headers.get('x-request-id', '')
        self.arrivals.append((now_s(), request_id))
        if request.headers.get('x-target-instance', self.name) != self.name:
            return self.reject(request, '421 Misdirected Request')
        if self.at_work >= self.slots:
            return self.reject(request, '503 Service Unavailable')
        self.at_work += 1
        try:
            if self.work is not None:
                return await self.work(self, request)
            return await self._work(request)
        finally:
            self.at_work -= 1

    async def _work(self, request: Request) -> bytes:
        run = self.begin(request)
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            run.end_s = now_s()
        return self.answer(request, run, '200 OK', records_of(run.stamp))


def records_of(stamp: str) -> bytes:
    """Return the two records that a run with this stamp answers."""
    return stamp.encode().ljust(16, b'.')[:16] * 2
