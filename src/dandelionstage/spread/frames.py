"""Length-prefixed frames on a connection between VMs."""

import asyncio
from typing import Final

__all__ = ('FrameError', 'host_and_port', 'read_frame', 'write_frame')

_LENGTH_BYTES: Final = 4
#: Well above the state of the largest fleet planned for (72 MiB of
#: documents, compressed to about a fifth).
_MOST_BYTES: Final = 67_108_864


class FrameError(Exception):
    """What came is no frame of this protocol."""


def host_and_port(address: str) -> tuple[str, int]:
    """Split an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def write_frame(writer: asyncio.StreamWriter, body: bytes) -> None:
    """Write one frame."""
    writer.write(len(body).to_bytes(_LENGTH_BYTES, 'big'))
    writer.write(body)


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read one frame.

    :raises FrameError: when it is too long.
    :raises EOFError: when the connection ends before it does.
    """
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), 'big')
    if length > _MOST_BYTES:
        raise FrameError('frame of {0} bytes'.format(length))
    return await reader.readexactly(length)
