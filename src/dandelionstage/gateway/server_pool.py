"""Connection pool of one backend server with its queue of attempts."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Final, final

from ..catalog.servers import ServerRecord
from ..placing.send_limit import SendLimit
from .attempt import Attempt, NoReply, Reply
from .clock import now_ms
from .read_limits import OnLimitExceeded, ReadBudget
from .reply_reader import HeaderNames
from .server_connection import ConnectionState, ServerConnection

__all__ = ('PoolCallbacks', 'ServerPool')

#: A connection within a region opens in a few milliseconds; a server that
#: takes this long is considered unreachable.
_CONNECT_TIMEOUT_S: Final = 1.0
#: An abandoned attempt may finish within this time, so that its connection
#: can be reused instead of being closed.
_ABANDON_GRACE_MS: Final = 300.0
_MS_PER_S: Final = 1000.0
#: A server in this region accepts or refuses a connection within this time; one
#: that does neither has not just ended.
_CHECK_TIMEOUT_S: Final = 0.1
#: Attempts with less time left than this are not sent.
_MIN_TIME_LEFT_MS: Final = 1.0


@final
@dataclass(frozen=True, slots=True)
class PoolCallbacks:
    """What a pool reports to the VM that it belongs to.

    :ivar on_limit_exceeded: called if the server exceeds a limit.
    :ivar on_reply: called with each reply to an attempt, also if the attempt
        was abandoned, before the attempt ends.
    :ivar request_permits: called if an attempt waits for a permit.
    :ivar on_returned: called when the server accepts a connection after it
        accepted none, before anything is sent on it.
    """

    on_limit_exceeded: OnLimitExceeded | None = None
    on_reply: Callable[[Attempt, Reply], None] | None = None
    request_permits: 'Callable[[ServerPool], None] | None' = None
    on_returned: Callable[[], None] | None = None


@final
class ServerPool:  # noqa: WPS214 -- one owner of a server's connections
    """Keeps connections to a server open, up to the limit of this VM.

    :ivar record: catalog record of the server.
    :ivar limit: limit of the server on requests, and permits to send them.
    """

    def __init__(
        self,
        record: ServerRecord,
        header_names: HeaderNames,
        connection_limit: Callable[[], int],
        budget: ReadBudget | None = None,
        callbacks: PoolCallbacks | None = None,
    ) -> None:
        """Create a pool without connections.

        :param connection_limit: returns the number of connections that this
            VM may currently hold to the server.
        :param budget: bounds the replies of all connections together.
        """
        self.record = record
        self.limit = SendLimit()
        self._header_names = header_names
        self._connection_limit = connection_limit
        self._budget = budget
        self._callbacks = callbacks or PoolCallbacks()
        self._unpermitted: deque[Attempt] = deque()
        self._connections: set[ServerConnection] = set()
        self._idle: list[ServerConnection] = []
        self._waiting: deque[Attempt] = deque()
        self._opening: set[asyncio.Task[None]] = set()
        self._is_closed = False
        self._broken: list[Attempt] = []
        self._accepts_none = False

    @property
    def load(self) -> int:
        """Number of waiting attempts and of connections that are not idle."""
        busy = len(self._connections) - len(self._idle)
        return busy + len(self._waiting) + len(self._unpermitted)

    @property
    def has_idle_connection(self) -> bool:
        """Whether an idle connection can send an attempt without delay."""
        return bool(self._idle)

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._connections)

    @property
    def unpermitted_count(self) -> int:
        """Number of attempts that wait for a permit."""
        return len(self._unpermitted)

    def submit(self, attempt: Attempt) -> None:
        """Send an attempt as soon as it is permitted and a connection idle."""
        attempt.started_ms = now_ms()
        if self.limit.per_s and self._must_wait(attempt):
            self._wait_for_permit(attempt)
        else:
            self._send_or_wait(attempt)

    def send_permitted(self) -> None:
        """Send the waiting attempts for which there are permits."""
        while self._unpermitted:
            at_ms = now_ms()
            if self.limit.per_s and not self.limit.take(at_ms):
                return
            attempt = self._unpermitted.popleft()
            # The server's time begins here.
            attempt.started_ms = at_ms
            self._send_or_wait(attempt)

    def refuse_unpermitted(self) -> None:
        """End the attempts that wait for a permit."""
        _end_all(self._unpermitted)

    def rest(self, until_ms: float) -> None:
        """Send nothing before a time; end all attempts that wait."""
        self.limit.rest(until_ms)
        _end_all(self._unpermitted)
        _end_all(self._waiting)

    def warm_up(self, per_s: float, until_ms: float) -> None:
        """Limit a cold server, also for the attempts that wait.

        :param per_s: requests a second that it takes, 0 if it needs no limit.
        """
        self.limit.warm_up(per_s, until_ms)
        if self.limit.per_s:
            waiting = tuple(self._waiting)
            self._waiting.clear()
            for attempt in waiting:
                self._wait_for_permit(attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Drop an attempt; one that was sent gets a short time to finish."""
        attempt.ended = True
        if attempt.sent_ms is None:
            for queue in (self._waiting, self._unpermitted):
                if attempt in queue:
                    queue.remove(attempt)
            return
        connection = self._find_connection(attempt)
        if connection is not None:
            asyncio.get_running_loop().call_later(
                _ABANDON_GRACE_MS / _MS_PER_S,
                self._close_if_busy_with,
                connection,
                attempt,
            )

    def retire(self) -> None:
        """Stop sending; attempts that were sent may finish."""
        self._is_closed = True
        for queue in (self._waiting, self._unpermitted):
            while queue:
                queue.popleft().end(NoReply.WITHDRAWN)
        for connection in tuple(self._idle):
            connection.close()

    def _must_wait(self, attempt: Attempt) -> bool:
        """Whether an attempt at a limited server lacks a permit."""
        self.limit.end_warm_up(attempt.started_ms)
        if not self.limit.per_s:
            return False
        self.limit.record_demand(attempt.started_ms)
        return not self.limit.take(attempt.started_ms)

    def _wait_for_permit(self, attempt: Attempt) -> None:
        self._unpermitted.append(attempt)
        if self._callbacks.request_permits is not None:
            self._callbacks.request_permits(self)

    def _send_or_wait(self, attempt: Attempt) -> None:
        connection = self._take_idle(attempt.started_ms)
        if connection is not None:
            connection.send(attempt)
            return
        self._waiting.append(attempt)
        if self._may_open():
            self._open()

    def _may_open(self) -> bool:
        return len(self._opening) < len(self._waiting) and (
            len(self._connections) < self._connection_limit()
        )

    def _take_idle(self, at_ms: float) -> ServerConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(at_ms):
                return connection
            connection.close()
        return None

    def _find_connection(self, attempt: Attempt) -> ServerConnection | None:
        for connection in self._connections:
            if connection.attempt is attempt:
                return connection
        return None

    def _close_if_busy_with(
        self, connection: ServerConnection, attempt: Attempt
    ) -> None:
        if connection.attempt is attempt:
            connection.close()

    def _open(self) -> None:
        connection = self._add_connection()
        self._start(self._connect(connection))

    def _add_connection(self) -> ServerConnection:
        connection = ServerConnection(
            self._header_names,
            self._on_idle_or_closed,
            self._budget,
            self._callbacks.on_limit_exceeded,
            self._callbacks.on_reply,
            self._handle_broken,
        )
        self._connections.add(connection)
        return connection

    def _start(self, opening: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(opening)
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _handle_broken(self, attempt: Attempt) -> None:
        """End an attempt once it is known whether the server has ended too.

        Several attempts may break together; one connection tells.
        """
        if attempt.ended:
            return
        self._broken.append(attempt)
        if len(self._broken) == 1:
            self._start(self._check_ended())

    async def _check_ended(self) -> None:
        """Connect again; a process that has ended refuses connections."""
        reason = NoReply.BROKEN
        connection = self._add_connection()
        try:
            async with asyncio.timeout(_CHECK_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, self.record.host, self.record.port
                )
        except ConnectionRefusedError:
            reason = NoReply.SERVER_ENDED
            connection.close()
            self._note_not_accepted()
        except OSError:
            connection.close()
        broken = tuple(self._broken)
        self._broken.clear()
        for attempt in broken:
            attempt.end(reason)

    async def _connect(self, connection: ServerConnection) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, self.record.host, self.record.port
                )
        except OSError:
            connection.close()
            self._note_not_accepted()
            self._fail_oldest_waiting(NoReply.CONNECT_FAILED)

    def _note_not_accepted(self) -> None:
        """Note that the server accepts no connection, if it has none."""
        opening = ConnectionState.OPENING
        if all(each.state is opening for each in self._connections):
            self._accepts_none = True

    def _note_accepted(self) -> None:
        if self._accepts_none:
            self._accepts_none = False
            if self._callbacks.on_returned is not None:
                self._callbacks.on_returned()

    def _fail_oldest_waiting(self, reason: NoReply) -> None:
        """Fail the attempt that has waited longest for a connection."""
        if self._waiting:
            self._waiting.popleft().end(reason)
        if self._may_open():
            self._open()

    def _on_idle_or_closed(self, connection: ServerConnection) -> None:
        if connection.state is ConnectionState.CLOSED:
            self._connections.discard(connection)
            if connection in self._idle:
                self._idle.remove(connection)
            if self._waiting and self._may_open() and not self._is_closed:
                self._open()
        elif self._is_closed:
            connection.close()
        else:
            self._note_accepted()
            self._send_waiting(connection)

    def _send_waiting(self, connection: ServerConnection) -> None:
        at_ms = now_ms()
        while self._waiting:
            attempt = self._waiting.popleft()
            if attempt.deadline_ms - at_ms >= _MIN_TIME_LEFT_MS:
                connection.send(attempt)
                return
            attempt.end(NoReply.EXPIRED)
        self._idle.append(connection)


def _end_all(queue: deque[Attempt]) -> None:
    """End the attempts of a queue as not sent because of a limit."""
    waiting = tuple(queue)
    queue.clear()
    for attempt in waiting:
        attempt.end(NoReply.LIMITED)
