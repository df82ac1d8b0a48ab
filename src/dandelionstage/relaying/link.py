"""Messages on one connection between two VMs."""

import asyncio
from collections.abc import Callable
from typing import Final, cast, final

import msgspec

from ..gateway.keep_alive import REGIONAL_KEEP_ALIVE
from .messages import Message, decode, encode

__all__ = ('RelayLink',)

_LENGTH_BYTES: Final = 4
#: A group's parts with the greatest records of each stay far below.
_MOST_BYTES: Final = 4_194_304
#: Bytes unsent to a VM that does not read, after which it is given up.
_MOST_UNSENT_BYTES: Final = 1_048_576


@final
class RelayLink(asyncio.Protocol):
    """Sends and receives messages; each has its length before it."""

    def __init__(
        self,
        on_message: 'Callable[[RelayLink, Message], None]',
        on_closed: 'Callable[[RelayLink, str], None]',
    ) -> None:
        """Prepare a connection.

        :param on_closed: told once, with the reason.
        """
        self._on_message = on_message
        self._on_closed: Callable[[RelayLink, str], None] | None = on_closed
        self._received = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Become ready to send."""
        self._transport = cast(asyncio.Transport, transport)
        REGIONAL_KEEP_ALIVE.apply(transport)

    def data_received(self, received: bytes) -> None:
        """Take in bytes and hand on the messages that are whole."""
        self._received += received
        try:
            self._read()
        except (msgspec.MsgspecError, ValueError) as fault:
            self.close(str(fault))

    def connection_lost(self, exc: Exception | None) -> None:
        """Take in that the connection is gone."""
        self.close(str(exc or 'closed by the other VM'))

    def send(self, message: Message) -> None:
        """Send a message; one to a connection that is closed is lost."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        body = encode(message)
        transport.write(len(body).to_bytes(_LENGTH_BYTES, 'big') + body)
        if transport.get_write_buffer_size() > _MOST_UNSENT_BYTES:
            self.close('the other VM does not read')

    def close(self, reason: str) -> None:
        """Close; a second call changes nothing."""
        on_closed = self._on_closed
        self._on_closed = None
        if self._transport is not None:
            self._transport.abort()
        if on_closed is not None:
            on_closed(self, reason)

    def _read(self) -> None:
        while len(self._received) >= _LENGTH_BYTES:
            length = int.from_bytes(self._received[:_LENGTH_BYTES], 'big')
            if length > _MOST_BYTES:
                raise ValueError('message of {0} bytes'.format(length))
            end = _LENGTH_BYTES + length
            if len(self._received) < end:
                return
            body = bytes(self._received[_LENGTH_BYTES:end])
            del self._received[:end]  # noqa: WPS420 -- frees in place
            self._on_message(self, decode(body))
