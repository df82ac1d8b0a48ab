"""A small HTTP/1.1 server loop over one anyio stream, for stand-ins."""

from typing import Any, Final

import anyio
import h11
from anyio.abc import ByteStream

from .http import Handler, HttpReply, HttpRequest, Sending

__all__ = ('serve_stream', 'swallow')

_READ_BYTES: Final = 65_536
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
_CLOSED: Final = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)
_JSON_TYPE: Final = ('content-type', 'application/json')


async def serve_stream(stream: ByteStream, handle: Handler) -> None:
    """Answer requests one after the other until the client closes."""
    http = h11.Connection(h11.SERVER)
    try:
        while await _serve_one(stream, http, handle):
            http.start_next_cycle()
    except _CLOSED:
        return
    except h11.ProtocolError:
        return


async def _serve_one(
    stream: ByteStream,
    http: h11.Connection,
    handle: Handler,
) -> bool:
    request = await _read_request(stream, http)
    if request is None:
        return False
    reply = await handle(request)
    if reply.sending is Sending.WITHHELD:
        await swallow(stream)
        return False
    await _send(stream, http, reply)
    return http.our_state is h11.DONE and http.their_state is h11.DONE


async def swallow(stream: ByteStream) -> None:
    """Read and drop whatever comes, like a path that lost its far end."""
    try:
        while True:
            await stream.receive(_READ_BYTES)
    except _CLOSED:
        return


async def _read_request(
    stream: ByteStream,
    http: h11.Connection,
) -> HttpRequest | None:
    head = await _next_event(stream, http)
    if not isinstance(head, h11.Request):
        return None
    body = bytearray()
    while len(body) <= _MAX_BODY_BYTES:
        event = await _next_event(stream, http)
        if not isinstance(event, h11.Data):
            return HttpRequest(
                head.method.decode(),
                head.target.decode(),
                bytes(body),
            )
        body.extend(event.data)
    return None


async def _next_event(stream: ByteStream, http: h11.Connection) -> Any:
    event = http.next_event()
    while event is h11.NEED_DATA:
        try:
            http.receive_data(await stream.receive(_READ_BYTES))
        except anyio.EndOfStream:
            http.receive_data(b'')
        event = http.next_event()
    return event


async def _send(
    stream: ByteStream,
    http: h11.Connection,
    reply: HttpReply,
) -> None:
    if reply.sending is Sending.CLOSED:
        await stream.aclose()
        return
    encoded = _encode(http, reply)
    if reply.sending is Sending.CUT:
        await stream.send(encoded[:-1])
        await stream.aclose()
        return
    if reply.sending is Sending.TWICE:
        encoded += encoded
    await stream.send(encoded)


def _encode(http: h11.Connection, reply: HttpReply) -> bytes:
    head = h11.Response(
        status_code=reply.status,
        headers=[_JSON_TYPE, ('content-length', str(len(reply.body)))],
    )
    events = (head, h11.Data(data=reply.body), h11.EndOfMessage())
    return b''.join(http.send(event) or b'' for event in events)
