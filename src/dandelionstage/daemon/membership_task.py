"""The task that probes the other daemons over UDP."""

from collections.abc import Callable
from contextlib import closing
from typing import Final, final

import anyio
from anyio.abc import UDPSocket

from ..inner.framing import BadFrameError
from ..inner.probe_codec import decode_probe
from ..membership.members import Members
from ..model.ids import VmId
from ..model.messages import Digest
from .clock import monotonic_ms
from .probe_outbox import Address, AddressBook, ProbeOutbox

__all__ = ('MembershipTask',)

_TICK_S: Final = 0.05
_REOPEN_S: Final = 0.5

_OnDigest = Callable[[VmId, Digest], None]


@final
class MembershipTask:
    """Owns the UDP socket and carries probes to and from the members."""

    def __init__(
        self,
        members: Members,
        own_address: Address,
        addresses: AddressBook,
        on_digest: _OnDigest,
    ) -> None:
        """Prepare; ``run`` does the work.

        :param own_address: where to listen.
        :param on_digest: hears what each probe says of its sender's
            documents.
        """
        self._members = members
        self._own_address = own_address
        self._on_digest = on_digest
        self._outbox = ProbeOutbox(addresses)

    async def run(self) -> None:
        """Probe and answer until cancelled, reopening a broken socket."""
        with closing(self._outbox):
            while True:
                try:
                    await self._run_socket()
                except* (OSError, anyio.BrokenResourceError):
                    await anyio.sleep(_REOPEN_S)

    async def _run_socket(self) -> None:
        host, port = self._own_address
        socket = await anyio.create_udp_socket(
            local_host=host,
            local_port=port,
        )
        async with socket, anyio.create_task_group() as group:
            group.start_soon(self._tick)
            group.start_soon(self._outbox.write, socket)
            await self._read(socket)

    async def _tick(self) -> None:
        while True:
            self._outbox.post(self._members.tick(monotonic_ms()))
            await anyio.sleep(_TICK_S)

    async def _read(self, socket: UDPSocket) -> None:
        while True:
            payload, (host, port) = await socket.receive()
            try:
                probe = decode_probe(payload)
            except BadFrameError:
                continue
            self._outbox.remember(probe.sender, (host, port))
            self._outbox.post(self._members.receive(probe, monotonic_ms()))
            self._on_digest(probe.sender, probe.digest)
