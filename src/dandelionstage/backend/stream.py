"""A network stream that remembers whether anything was written to it."""

from typing import Any, final

import httpcore

__all__ = ('WitnessedStream',)


@final
class WitnessedStream(httpcore.AsyncNetworkStream):
    """Passes everything on and notes the first byte handed over.

    :ivar written: something was handed to the connection since it was
        last set to ``False``; what became of it is not known.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Wrap an open stream."""
        self.written = False
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read what has come."""
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all; from here on the request may have run."""
        self.written = True
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the socket."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Tell what the wrapped stream tells."""
        return self._stream.get_extra_info(info)
