"""Delivery times of answers, measured by TCP acknowledgements."""

import asyncio
import socket
import struct
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, final

from ..catalog.routes import Route
from .clock import now_ms
from .request_schedule import LagEstimate

__all__ = ('DeliveryTimes', 'round_trip_ms')

#: Number of routes whose delivery times are kept.
_MAX_ROUTES: Final = 128
#: Interval between checks for the acknowledgement of an answer, and the time
#: after which the checks end.
_POLL_INTERVAL_MS: Final = 1.0
_MAX_TIMING_MS: Final = 60.0
#: Assumptions for a route without measured answers: bytes per shard in an
#: answer (a signature and its share of the head), and a link of 10 Mbit/s, the
#: slowest on which a query over many shards makes sense.
_BYTES_PER_SHARD: Final = 55
_BYTES_PER_MS: Final = 1250.0
_US_PER_MS: Final = 1000.0
_MS_PER_S: Final = 1000.0
#: struct tcp_info of the kernel (linux/tcp.h): eight bytes, then 32-bit words.
_TCP_INFO: Final = struct.Struct('=8x16I')
_UNACKED_INDEX: Final = 4
_ROUND_TRIP_US_INDEX: Final = 15


def round_trip_ms(transport: asyncio.BaseTransport) -> float:
    """Return the round-trip time estimated by the kernel, 0 if it has none."""
    words = _tcp_info(transport)
    return words[_ROUND_TRIP_US_INDEX] / _US_PER_MS if words else 0


def _tcp_info(transport: asyncio.BaseTransport) -> tuple[int, ...] | None:
    sock = transport.get_extra_info('socket')
    if sock is None or transport.is_closing():
        return None
    try:
        raw = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        # The peer has reset the connection, so there is nothing to measure.
        return None
    return _TCP_INFO.unpack(raw)


@final
class DeliveryTimes:
    """Measures the time until the acknowledgement of answers.

    One answer is measured at a time.  An answer to a query over many shards
    carries a signature of each shard, which takes some milliseconds to send on
    a slow link.
    """

    def __init__(self) -> None:
        """Create a record without measurements."""
        self._lags: OrderedDict[str, LagEstimate] = OrderedDict()
        self._is_measuring = False

    def lag_ms(self, route: Route) -> float:
        """Return how much longer than a round trip an answer takes, in ms."""
        estimate = self._lags.get(route.name)
        if estimate is not None:
            return estimate.lag_ms
        shards = len(route.gather.shards) if route.gather else 0
        return shards * _BYTES_PER_SHARD / _BYTES_PER_MS

    def observe(self, route: str, excess_ms: float) -> None:
        """Record the delivery time of one answer beyond a round trip."""
        estimate = self._lags.get(route)
        if estimate is not None:
            estimate.observe(excess_ms)
            return
        self._lags[route] = LagEstimate(excess_ms)
        if len(self._lags) > _MAX_ROUTES:
            self._lags.popitem(last=False)

    def watch(self, route: str, transport: asyncio.BaseTransport) -> None:
        """Measure an answer just written, unless a measurement is running."""
        if self._is_measuring:
            return
        trip_ms = round_trip_ms(transport)
        if not trip_ms:
            return
        self._is_measuring = True
        start_ms = now_ms()

        def poll() -> None:  # noqa: WPS430 -- one measurement
            words = _tcp_info(transport)
            elapsed_ms = now_ms() - start_ms
            if words and words[_UNACKED_INDEX] and elapsed_ms < _MAX_TIMING_MS:
                _call_later(_POLL_INTERVAL_MS, poll)
                return
            self._is_measuring = False
            if words:
                self.observe(route, max(0, elapsed_ms - trip_ms))

        _call_later(trip_ms, poll)


def _call_later(wait_ms: float, action: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(wait_ms / _MS_PER_S, action)
