"""Probes on their way to the socket."""

from collections.abc import Callable, Iterable
from typing import Final, final

import anyio
from anyio.abc import UDPSocket

from ..inner.probe_codec import encode_probe
from ..membership.messages import SendProbe
from ..model.ids import VmId

__all__ = ('Address', 'AddressBook', 'ProbeOutbox')

#: Host and port.
Address = tuple[str, int]

#: Says where a VM listens, ``None`` if it is not known.
AddressBook = Callable[[VmId], Address | None]

#: Probes that may wait to be sent; what comes beyond is dropped.
_MAX_WAITING: Final = 256

#: Senders remembered that no published list names yet.
_MAX_STRANGERS: Final = 256


@final
class ProbeOutbox:
    """Lets one task write what several want to send."""

    def __init__(self, addresses: AddressBook) -> None:
        """Start with nothing to send."""
        self._addresses = addresses
        self._strangers: dict[VmId, Address] = {}
        outbox, waiting = anyio.create_memory_object_stream[SendProbe](
            _MAX_WAITING,
        )
        self._outbox = outbox
        self._waiting = waiting

    def post(self, sends: Iterable[SendProbe]) -> None:
        """Send these soon; what does not fit is lost like a datagram."""
        for send in sends:
            try:
                self._outbox.send_nowait(send)
            except anyio.WouldBlock:
                return

    def remember(self, vm: VmId, address: Address) -> None:
        """Keep the address of a sender, to answer one not yet published."""
        if self._addresses(vm) is not None:
            return
        if len(self._strangers) >= _MAX_STRANGERS:
            self._strangers.clear()
        self._strangers[vm] = address

    async def write(self, socket: UDPSocket) -> None:
        """Write to the socket until cancelled."""
        while True:
            send = await self._waiting.receive()
            address = self._find(send.vm)
            if address is not None:
                await socket.sendto(encode_probe(send.probe), *address)

    def close(self) -> None:
        """Drop what still waits."""
        self._outbox.close()
        self._waiting.close()

    def _find(self, vm: VmId) -> Address | None:
        return self._addresses(vm) or self._strangers.get(vm)
