"""Has the kernel look after a connection while nothing is sent on it."""

import asyncio
import socket
from dataclasses import dataclass
from typing import Final, final

__all__ = ('NEAR', 'KeepAlive')


@final
@dataclass(frozen=True, slots=True)
class KeepAlive:
    """How soon the kernel finds that a peer is gone.

    :ivar idle_s: without a byte for so long, the first probe is sent.
    :ivar every_s: between two probes.
    :ivar probes: unanswered ones after which the connection is broken.
    """

    idle_s: int
    every_s: int
    probes: int

    def watch(self, transport: asyncio.BaseTransport) -> None:
        """Probe a connection; one without a socket is left alone."""
        sock = transport.get_extra_info('socket')
        if sock is None:
            return
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, setting in (
            (socket.TCP_KEEPIDLE, self.idle_s),
            (socket.TCP_KEEPINTVL, self.every_s),
            (socket.TCP_KEEPCNT, self.probes),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, setting)


#: For peers in this region: one that is gone is found in nine seconds, while
#: nothing is sent to it.
NEAR: Final = KeepAlive(idle_s=5, every_s=2, probes=2)
