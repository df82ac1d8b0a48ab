"""Callers that keep their connections until the process is gone."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, final

import httptools

from dandelionstage.gateway.clock import now_ms

from .vms import Life, Vm

__all__ = ('Asked', 'call')

_FRONT_PORT: Final = 18_104
_LEFT_MS: Final = 1200
_LONGEST_S: Final = 3.0
_PAUSE_S: Final = 0.03
_PIECE: Final = 65_536
_HEAD: Final = (
    'GET {0} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {1}\r\n'
    'X-Request-Deadline: {2}\r\n\r\n'
)


@final
@dataclass(slots=True)
class Asked:
    """A request and what came of it.

    :ivar life: the process that was asked.
    :ivar status: of the answer, ``None`` without one.
    """

    request: str
    path: str
    life: Life
    sent_ms: float
    status: int | None = None
    ended_ms: float = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@final
class _AnswerReader:
    """Takes one answer apart."""

    def __init__(self, asked: Asked) -> None:
        self._asked = asked
        self.is_whole = False
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header."""
        self._asked.headers[name.decode().lower()] = content.decode()

    def on_body(self, piece: bytes) -> None:
        """Keep a part of the body."""
        self._asked.body += piece

    def on_message_complete(self) -> None:
        """Note the end."""
        self.is_whole = True


async def call(
    vm: Vm,
    name: str,
    choose: Callable[[Random], str],
    random: Random,
    note: Callable[[Asked], None],
) -> None:
    """Ask one request after the other, until cancelled.

    :param choose: draws a path.
    """
    number = 0
    while True:
        try:
            streams = await asyncio.open_connection(vm.host, _FRONT_PORT)
        except OSError:
            # The process is not there; whoever waits for it tries again.
            await asyncio.sleep(_PAUSE_S)
            continue
        is_kept = True
        while is_kept:
            number += 1
            request = '{0}-{1}'.format(name, number)
            asked = Asked(request, choose(random), vm.life, now_ms())
            is_kept = await _ask(*streams, asked)
            asked.ended_ms = now_ms()
            note(asked)
            await asyncio.sleep(random.uniform(0, 2 * _PAUSE_S))
        streams[1].transport.abort()


async def _ask(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, asked: Asked
) -> bool:
    """Ask; tell whether the connection may be used again."""
    head = _HEAD.format(asked.path, asked.request, _LEFT_MS)
    answer = _AnswerReader(asked)
    writer.write(head.encode())
    try:
        # Unlike wait_for, this never loses a cancellation that comes
        # together with the answer.
        async with asyncio.timeout(_LONGEST_S):
            await _read(reader, answer)
    except (OSError, TimeoutError, httptools.HttpParserError):
        # Without an answer; what that means is for the checks to say.
        return False
    if not answer.is_whole:
        return False
    asked.status = answer.parser.get_status_code()
    return bool(answer.parser.should_keep_alive())


async def _read(reader: asyncio.StreamReader, answer: _AnswerReader) -> None:
    while not answer.is_whole:
        piece = await reader.read(_PIECE)
        if not piece:
            return
        answer.parser.feed_data(piece)
