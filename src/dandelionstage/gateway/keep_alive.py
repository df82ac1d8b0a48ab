"""TCP keep-alive settings for detecting lost peers on idle connections."""

import asyncio
import socket
from dataclasses import dataclass
from typing import Final, final

__all__ = ('REGIONAL_KEEP_ALIVE', 'KeepAlive')


@final
@dataclass(frozen=True, slots=True)
class KeepAlive:
    """TCP keep-alive parameters of a connection.

    :ivar idle_s: idle time in seconds before the first probe is sent.
    :ivar interval_s: time between two probes, in seconds.
    :ivar probe_count: unanswered probes after which the kernel breaks the
        connection.
    """

    idle_s: int
    interval_s: int
    probe_count: int

    def apply(self, transport: asyncio.BaseTransport) -> None:
        """Enable keep-alive on a transport; does nothing without a socket."""
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


#: For peers in the same region: a lost peer is detected after nine seconds on
#: an idle connection.
REGIONAL_KEEP_ALIVE: Final = KeepAlive(idle_s=5, interval_s=2, probe_count=2)
