"""Connection that carries relay messages between two VMs."""

import asyncio
from collections.abc import Callable
from typing import Final, cast, final

import msgspec

from ..gateway.keep_alive import REGIONAL_KEEP_ALIVE
from ..gateway.read_limits import UNCOUNTED_BYTES, LimitExceeded, ReadBudget
from .messages import Message, decode, encode

__all__ = ('RelayConnection',)

_LENGTH_BYTES: Final = 4
#: A connection is closed if a message is longer.  The parts of a group, each
#: cut to its greatest records, are far smaller.
_MAX_MESSAGE_BYTES: Final = 4_194_304
#: A connection with more unsent bytes is closed, as the other VM does not read.
_MAX_UNSENT_BYTES: Final = 1_048_576


@final
class RelayConnection(asyncio.Protocol):  # noqa: WPS214 -- callbacks
    """Sends and receives messages, each preceded by its length.

    The length is an unsigned 32-bit integer in network byte order.
    """

    def __init__(
        self,
        on_message: 'Callable[[RelayConnection, Message], None]',
        on_closed: 'Callable[[RelayConnection, str], None]',
        budget: ReadBudget,
    ) -> None:
        """Create a protocol that is not connected yet.

        :param on_message: called with each received message.
        :param on_closed: called once, with the reason for the closure.
        :param budget: bounds the messages of all connections together.
        """
        self._on_message = on_message
        self._on_closed: Callable[[RelayConnection, str], None] | None = (
            on_closed
        )
        self._received = bytearray()
        self._budget = budget
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable keep-alive probes on it."""
        self._transport = cast(asyncio.Transport, transport)
        REGIONAL_KEEP_ALIVE.apply(transport)

    def data_received(self, received: bytes) -> None:
        """Buffer received bytes and deliver the complete messages."""
        self._received += received
        try:
            self._read_messages()
        except (msgspec.MsgspecError, ValueError) as error:
            self.close(str(error))
        if len(self._received) > UNCOUNTED_BYTES:
            self._budget.hold(self, len(self._received))
        else:
            self._budget.release(self)

    def drop(self, exceeded: LimitExceeded) -> None:
        """Close, as all messages together are too large."""
        self.close('{0}: {1}'.format(exceeded.limit.value, exceeded.size))

    def connection_lost(self, exc: Exception | None) -> None:
        """Report why the connection was lost."""
        self.close(str(exc or 'connection closed by the other VM'))

    def send(self, message: Message) -> None:
        """Send a message; it is discarded if the connection is not open."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        body = encode(message)
        transport.write(len(body).to_bytes(_LENGTH_BYTES, 'big') + body)
        if transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self.close('the other VM does not read: too many unsent bytes')

    def close(self, reason: str) -> None:
        """Close the connection; further calls have no effect."""
        on_closed = self._on_closed
        self._on_closed = None
        self._budget.release(self)
        self._received.clear()
        if self._transport is not None:
            self._transport.abort()
        if on_closed is not None:
            on_closed(self, reason)

    def _read_messages(self) -> None:
        while len(self._received) >= _LENGTH_BYTES:
            length = int.from_bytes(self._received[:_LENGTH_BYTES], 'big')
            if length > _MAX_MESSAGE_BYTES:
                raise ValueError(
                    'relay message of {0} bytes exceeds limit of {1}'.format(
                        length, _MAX_MESSAGE_BYTES
                    )
                )
            end = _LENGTH_BYTES + length
            if len(self._received) < end:
                return
            body = bytes(self._received[_LENGTH_BYTES:end])
            del self._received[:end]  # noqa: WPS420 -- frees in place
            self._on_message(self, decode(body))
