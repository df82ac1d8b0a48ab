"""Listening socket for callers and the connections accepted on it."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final, final

from ..catalog.routes import CallerLimits
from ..lifecycle.resource_owner import ResourceOwner
from ..lifecycle.pause_detector import PauseDetector
from .caller_connection import (
    CallerConnection,
    CallerConnectionContext,
    ConnectionPhase,
    RequestHandler,
)
from .clock import now_ms
from .delivery_times import DeliveryTimes
from .read_limits import ReadBudget
from .reply_reader import HeaderNames

__all__ = ('CallerListener',)

#: Interval between sweeps, which close idle and slow connections.
_SWEEP_INTERVAL_S: Final = 0.25
#: A gap between sweeps that exceeds this means that the process was paused.
_PAUSE_THRESHOLD_MS: Final = 750.0
#: Connections of a VM with few descriptors.
_MAX_CONNECTIONS: Final = 667
#: Connections that the kernel queues until the process accepts them.
_BACKLOG: Final = 512


@final
class CallerListener(  # noqa: WPS214 -- short methods
    ResourceOwner
):
    """Listens for callers and closes idle and slow connections.

    Connections that are still open when the listener is closed are aborted.

    :ivar on_pause: called after a pause of the process, with its length in ms.
    """

    def __init__(  # noqa: WPS211 -- one for each collaborator
        self,
        address: tuple[str, int],
        header_names: HeaderNames,
        limits: Callable[[], CallerLimits],
        handle: RequestHandler,
        delivery_times: DeliveryTimes,
        budget: ReadBudget | None = None,
        must_close: Callable[[], bool] = bool,
        max_connections: int = _MAX_CONNECTIONS,
    ) -> None:
        """Create a listener; it starts listening when it is entered.

        :param budget: bounds the requests of all connections together.
        :param max_connections: number of connections that are open at a time.
        :param must_close: whether to close connections after their next
            answer, so that callers connect to another VM.
        """
        self.on_pause: Callable[[float], None] = _ignore_pause
        self._address = address
        self._pauses = PauseDetector(_PAUSE_THRESHOLD_MS)
        self._context = CallerConnectionContext(
            header_names,
            limits,
            handle,
            self._pauses.unread_ms,
            delivery_times,
            budget,
            must_close,
        )
        self._connections: set[CallerConnection] = set()
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._closes_after_answer = False

    @property
    def in_progress(self) -> int:
        """Number of connections that read or serve a request."""
        active_phases = (ConnectionPhase.READING, ConnectionPhase.SERVING)
        return sum(
            connection.phase in active_phases
            for connection in self._connections
        )

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def unread_ms(self, at_ms: float) -> float:
        """Return how long bytes read at a time may have waited, in ms."""
        return self._pauses.unread_ms(at_ms)

    def close_after_next_answer(self) -> None:
        """Have each connection close after its next answer."""
        self._closes_after_answer = True
        for connection in self._connections:
            connection.is_last = True

    def close_idle(self) -> None:
        """Close the connections that read or serve no request."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def answer_in_progress(self) -> None:
        """Answer the requests in progress, as they cannot be finished."""
        for connection in tuple(self._connections):
            connection.answer_unfinished()

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _open(self, stack: AsyncExitStack) -> None:
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._server = await loop.create_server(
            self._accept, host, port, backlog=_BACKLOG
        )
        stack.callback(self._abort_all)
        stack.callback(self.stop_listening)
        stack.callback(loop.create_task(self._sweep()).cancel)

    def _abort_all(self) -> None:
        for connection in tuple(self._connections):
            connection.abort()

    def _make_room(self) -> None:
        """Close the connection that has waited longest for its caller.

        An ordinary caller sends a request at once, or soon after its last one.
        """
        waiting = [
            connection
            for connection in self._connections
            if connection.phase is not ConnectionPhase.SERVING
        ]
        longest = min(waiting, key=lambda each: each.since_ms, default=None)
        if longest is not None:
            self._connections.discard(longest)
            longest.abort()

    def _accept(self) -> CallerConnection:
        if len(self._connections) >= self._max_connections:
            self._make_room()
        connection = CallerConnection(self._context, self._connections.discard)
        connection.is_last = self._closes_after_answer
        self._connections.add(connection)
        return connection

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            at_ms = now_ms()
            pause_ms = self._pauses.beat(at_ms)
            if pause_ms:
                self.on_pause(pause_ms)
            for connection in tuple(self._connections):
                connection.close_if_overdue(at_ms)


def _ignore_pause(pause_ms: float) -> None:
    """Do nothing after a pause."""
