"""Length-prefixed frames, each one thrift envelope."""

from collections.abc import Iterator
from typing import Any, Final, TypeVar, cast, final

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from .generated.ttypes import Envelope

__all__ = (
    'DECODE_ERRORS',
    'MAX_FRAME_BYTES',
    'BadFrameError',
    'FrameBuffer',
    'decode_struct',
    'encode_frame',
    'encode_struct',
)

#: A published value has at most a megabyte; a frame holds a few of them.
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
_MAX_CONTAINER_ITEMS: Final = 100_000
_LENGTH_BYTES: Final = 4

#: What the thrift library raises for bytes that are no such struct.
DECODE_ERRORS: Final = (
    EOFError,
    MemoryError,
    OverflowError,
    TProtocolException,
    TTransportException,
    TypeError,
    ValueError,
)

_Struct = TypeVar('_Struct')

_protocols: Final = TBinaryProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=_MAX_CONTAINER_ITEMS,
)


class BadFrameError(Exception):
    """The peer sent what is no frame of this protocol."""


@final
class FrameBuffer:
    """Collects received bytes until they make whole frames."""

    def __init__(self) -> None:
        """Start empty."""
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> Iterator[Envelope]:
        """Yield each envelope that the chunk completes.

        :raises BadFrameError: the frame is too large or cannot be decoded.
        """
        self._buffer += chunk
        while True:
            frame = self._take_frame()
            if frame is None:
                return
            yield decode_struct(Envelope, frame)

    def _take_frame(self) -> bytes | None:
        buffer = self._buffer
        if len(buffer) < _LENGTH_BYTES:
            return None
        end = _LENGTH_BYTES + int.from_bytes(buffer[:_LENGTH_BYTES], 'big')
        if end > MAX_FRAME_BYTES:
            raise BadFrameError('frame of {0} bytes'.format(end))
        if len(buffer) < end:
            return None
        frame = bytes(buffer[_LENGTH_BYTES:end])
        self._buffer = buffer[end:]
        return frame


def encode_frame(envelope: Envelope) -> bytes:
    """Encode one envelope with its length in front."""
    payload = encode_struct(envelope)
    return len(payload).to_bytes(_LENGTH_BYTES, 'big') + payload


def encode_struct(struct: Any) -> bytes:
    """Encode one generated thrift struct."""
    transport = TMemoryBuffer()
    struct.write(_protocols.getProtocol(transport))
    return cast(bytes, transport.getvalue())


def decode_struct(kind: type[_Struct], payload: bytes) -> _Struct:
    """Decode one generated thrift struct.

    :raises BadFrameError: the bytes are not such a struct.
    """
    struct: Any = kind()
    try:
        struct.read(_protocols.getProtocol(TMemoryBuffer(payload)))
    except DECODE_ERRORS as error:
        raise BadFrameError(str(error)) from error
    return cast(_Struct, struct)
