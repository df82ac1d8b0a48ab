"""How long answers are on their way to the callers, as the kernel tells."""

import asyncio
import socket
import struct
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, final

from ..catalog.routes import Route
from .clock import now_ms
from .request_schedule import AnswerLag

__all__ = ('DeliveryTimes', 'round_trip_ms')

#: Routes whose answers are timed.
_ROUTES_KEPT: Final = 128
#: How often an answer on its way is looked at, and for how long at most.
_LOOK_MS: Final = 1.0
_LONGEST_MS: Final = 60.0
#: Assumed of an answer before one of its route was timed: its bytes for each
#: shard (a signature and its share of the head), and a link of 10 Mbit/s, the
#: slowest that a query over many shards makes sense on.
_BYTES_PER_SHARD: Final = 55
_BYTES_PER_MS: Final = 1250.0
_US_PER_MS: Final = 1000.0
_MS_PER_S: Final = 1000.0
#: struct tcp_info of the kernel (linux/tcp.h): eight bytes, then words.
_TCP_INFO: Final = struct.Struct('=8x16I')
_UNACKED: Final = 4
_ROUND_TRIP_US: Final = 15


def round_trip_ms(transport: asyncio.BaseTransport) -> float:
    """Return the kernel's estimate, 0 if it has none."""
    words = _tcp_info(transport)
    return words[_ROUND_TRIP_US] / _US_PER_MS if words else 0


def _tcp_info(transport: asyncio.BaseTransport) -> tuple[int, ...] | None:
    sock = transport.get_extra_info('socket')
    if sock is None or transport.is_closing():
        return None
    try:
        raw = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        # The peer has just reset the connection; there is nothing to time.
        return None
    return _TCP_INFO.unpack(raw)


@final
class DeliveryTimes:
    """Times some answers, one at a time, until they are acknowledged.

    An answer to a query over many shards carries a signature of each, which
    takes a small link some milliseconds.
    """

    def __init__(self) -> None:
        """Start with nothing timed."""
        self._lags: OrderedDict[str, AnswerLag] = OrderedDict()
        self._is_timing = False

    def lag_ms(self, route: Route) -> float:
        """Tell how much longer than a round trip an answer takes."""
        known = self._lags.get(route.name)
        if known is not None:
            return known.lag_ms
        shards = len(route.gather.shards) if route.gather else 0
        return shards * _BYTES_PER_SHARD / _BYTES_PER_MS

    def observe(self, route: str, excess_ms: float) -> None:
        """Take in what one answer took beyond a round trip."""
        known = self._lags.get(route)
        if known is not None:
            known.observe(excess_ms)
            return
        self._lags[route] = AnswerLag(excess_ms)
        if len(self._lags) > _ROUTES_KEPT:
            self._lags.popitem(last=False)

    def watch(self, route: str, transport: asyncio.BaseTransport) -> None:
        """Time an answer that was just written, unless one is timed."""
        if self._is_timing:
            return
        trip_ms = round_trip_ms(transport)
        if not trip_ms:
            return
        self._is_timing = True
        written_ms = now_ms()

        def look() -> None:  # noqa: WPS430 -- one answer's timing
            words = _tcp_info(transport)
            elapsed_ms = now_ms() - written_ms
            if words and words[_UNACKED] and elapsed_ms < _LONGEST_MS:
                _call_later(_LOOK_MS, look)
                return
            self._is_timing = False
            if words:
                self.observe(route, max(0, elapsed_ms - trip_ms))

        _call_later(trip_ms, look)


def _call_later(wait_ms: float, action: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(wait_ms / _MS_PER_S, action)
