"""A small HTTP/1.1 server port and client for the stand-ins."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field


class Port:
    """Accepts connections and serves each with a coroutine."""

    def __init__(
        self,
        host: str,
        port: int,
        serve: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> None:
        self._host = host
        self._port = port
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.StreamWriter, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._handle, self._host, self._port
        )

    async def close(self) -> None:
        """Close the port and reset its connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._open.values())
        for writer, task in tuple(self._open.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open[writer] = task
        try:
            with suppress(OSError, EOFError, asyncio.CancelledError):
                await self._serve(reader, writer)
        finally:
            self._open.pop(writer)
            writer.close()


def now_s() -> float:
    """Return the steady clock of the machine."""
    return time.monotonic()


@dataclass
class Request:
    """A request as a stand-in received it."""

    method: str = ''
    target: str = ''
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


async def read_head(reader: asyncio.StreamReader) -> list[str]:
    """Read a head; raise EOFError if the peer closes before its end."""
    head = await reader.readuntil(b'\r\n\r\n')
    return head.decode('latin-1').split('\r\n')[:-2]


def headers_of(lines: list[str]) -> list[tuple[str, str]]:
    """Return the header fields of a head, with names in lower case."""
    fields = []
    for line in lines[1:]:
        name, _, content = line.partition(':')
        fields.append((name.strip().lower(), content.strip()))
    return fields


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with its body, which has a length or none."""
    lines = await read_head(reader)
    method, target, _ = lines[0].split(' ')
    headers = dict(headers_of(lines))
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length) if length else b''
    return Request(method, target, headers, body)


def response(status: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a response with a length."""
    lines = ['HTTP/1.1 {0}'.format(status)]
    lines += ['{0}: {1}'.format(*each) for each in headers.items()]
    lines.append('Content-Length: {0}'.format(len(body)))
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


@dataclass
class Answer:
    """What a client received for one request.

    :ivar status: 0 if the connection ended without a whole answer, or none
        came in time.
    """

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b''
    fault: str = ''

    def all_of(self, name: str) -> list[str]:
        """Return every value of a header."""
        return [content for key, content in self.headers if key == name]

    def first(self, name: str) -> str:
        """Return the first value of a header, empty if there is none."""
        return (self.all_of(name) or [''])[0]


class Connection:
    """A client's connection, for one request after the other."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    def close(self) -> None:
        """Close the connection, also while an answer is awaited."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b'',
        timeout_s: float = 5,
    ) -> Answer:
        """Send a request and return the answer."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._ask(method, target, headers, body)
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(fault=repr(error))

    async def _ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        lines = ['{0} {1} HTTP/1.1'.format(method, target)]
        lines += ['{0}: {1}'.format(*each) for each in headers.items()]
        if body:
            lines.append('Content-Length: {0}'.format(len(body)))
        writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        head = await read_head(reader)
        fields = headers_of(head)
        length = int(dict(fields).get('content-length', '0'))
        answer = Answer(
            int(head[0].split(' ')[1]),
            fields,
            await reader.readexactly(length) if length else b'',
        )
        if dict(fields).get('connection') == 'close':
            self.close()
        return answer
