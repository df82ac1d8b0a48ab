"""Has the kernel look after a connection while nothing is sent on it."""

import asyncio
import socket
from dataclasses import dataclass
from typing import Final, final

__all__ = ('REGIONAL_KEEP_ALIVE', 'KeepAlive')


@final
@dataclass(frozen=True, slots=True)
class KeepAlive:
    """How soon the kernel finds that a peer is gone.

    :ivar idle_s: without a byte for so long, the first probe is sent.
    :ivar every_s: between two probes.
    :ivar probes: unanswered ones after which the connection is broken.
    """

    idle_s: int
    interval_s: int
    probe_count: int

    def apply(self, transport: asyncio.BaseTransport) -> None:
        """Probe a connection; one without a socket is left alone."""
        sock = transport.get_extra_info('socket')
        if sock is None:
            return
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, setting in (
            (socket.TCP_KEEPIDLE, self.idle_s),
            (socket.TCP_KEEPINTVL, self.interval_s),
            (socket.TCP_KEEPCNT, self.probe_count),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, setting)


#: For peers in this region: one that is gone is found in nine seconds, while
#: nothing is sent to it.
REGIONAL_KEEP_ALIVE: Final = KeepAlive(idle_s=5, interval_s=2, probe_count=2)
