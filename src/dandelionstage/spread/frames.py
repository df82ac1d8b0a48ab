"""Length-prefixed frames on a connection between VMs."""

import asyncio
from typing import Final

__all__ = ('FrameError', 'host_and_port', 'read_frame', 'write_frame')

_LENGTH_BYTES: Final = 4


class FrameError(Exception):
    """Raised when received data is not a frame of this protocol."""


def host_and_port(address: str) -> tuple[str, int]:
    """Split an address of the form ``host:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def write_frame(writer: asyncio.StreamWriter, body: bytes) -> None:
    """Write a frame, preceded by its length."""
    writer.write(len(body).to_bytes(_LENGTH_BYTES, 'big'))
    writer.write(body)


async def read_frame(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """Read a frame and return its content.

    :param max_bytes: maximum length of the content.
    :raises FrameError: if the frame exceeds the maximum length.
    :raises EOFError: if the connection ends within the frame.
    """
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), 'big')
    if length > max_bytes:
        raise FrameError(
            'frame of {0} bytes exceeds the limit of {1} bytes'.format(
                length, max_bytes
            )
        )
    return await reader.readexactly(length)
