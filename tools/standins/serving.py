"""A small HTTP/1.1 server loop over one anyio stream, for stand-ins.

It reads requests by hand: the bench pays for each of them, and only our own
clients send any.
"""

import re
from http import HTTPStatus
from typing import Final

import anyio
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from .http import Handler, HttpReply, HttpRequest, Sending

__all__ = ('serve_stream', 'swallow')

_READ_BYTES: Final = 65_536
_MAX_HEAD_BYTES: Final = 65_536
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_END_OF_HEAD: Final = b'\r\n\r\n'
_CLOSED: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
)
_LENGTH: Final = re.compile(rb'(?i)\r\ncontent-length: *(\d+)')
_HEAD: Final = (
    'HTTP/1.1 {0} {1}\r\n'
    'content-type: application/json\r\n'
    'content-length: {2}\r\n\r\n'
)


async def serve_stream(stream: ByteStream, handle: Handler) -> None:
    """Answer requests one after the other until the client closes."""
    reading = BufferedByteReceiveStream(stream)
    try:
        while True:
            reply = await handle(await _read_request(reading))
            await _send(stream, reply)
    except _CLOSED:
        return


async def swallow(stream: ByteStream) -> None:
    """Read and drop whatever comes, like a path that lost its far end."""
    try:
        while True:
            await stream.receive(_READ_BYTES)
    except _CLOSED:
        return


async def _read_request(reading: BufferedByteReceiveStream) -> HttpRequest:
    head = await reading.receive_until(_END_OF_HEAD, _MAX_HEAD_BYTES)
    found = _LENGTH.search(head)
    length = int(found[1]) if found else 0
    body = await reading.receive_exactly(min(length, _MAX_BODY_BYTES))
    words = head.decode().split(' ', maxsplit=2)
    return HttpRequest(words[0], words[1], body)


async def _send(stream: ByteStream, reply: HttpReply) -> None:
    if reply.sending is Sending.WITHHELD:
        await swallow(stream)
    else:
        await stream.send(_on_the_way(_encode(reply), reply.sending))
    if reply.sending in {Sending.CUT, Sending.CLOSED}:
        await stream.aclose()


def _on_the_way(encoded: bytes, sending: Sending) -> bytes:
    if sending is Sending.CLOSED:
        return b''
    if sending is Sending.CUT:
        return encoded[:-1]
    return encoded * 2 if sending is Sending.TWICE else encoded


def _encode(reply: HttpReply) -> bytes:
    phrase = HTTPStatus(reply.status).phrase
    head = _HEAD.format(int(reply.status), phrase, len(reply.body))
    return head.encode() + reply.body
