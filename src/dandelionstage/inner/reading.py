"""Messages read from a byte stream."""

from collections.abc import AsyncGenerator
from typing import Final

import anyio
from anyio.abc import ByteReceiveStream

from .framing import BadFrameError, FrameBuffer
from .messages import InnerMessage, unpack

__all__ = ('STREAM_ENDS', 'read_messages')

#: What a stream raises when it has ended, from either side.
STREAM_ENDS: Final = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

_RECEIVE_BYTES: Final = 262_144


async def read_messages(
    stream: ByteReceiveStream,
) -> AsyncGenerator[InnerMessage | None, None]:
    """Yield messages until the stream ends; a bad frame ends it in ``None``."""
    frames = FrameBuffer()
    while True:
        try:
            chunk = await stream.receive(_RECEIVE_BYTES)
        except STREAM_ENDS:
            return
        for message in _decode_chunk(frames, chunk):
            yield message
            if message is None:
                return


def _decode_chunk(
    frames: FrameBuffer,
    chunk: bytes,
) -> tuple[InnerMessage | None, ...]:
    try:
        return tuple(
            message
            for envelope in frames.feed(chunk)
            for message in unpack(envelope)
        )
    except BadFrameError:
        return (None,)
