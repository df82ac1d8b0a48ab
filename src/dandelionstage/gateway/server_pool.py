"""The connections to one backend server and the attempts that wait."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, final

from ..catalog.servers import ServerRecord
from .attempt import Attempt, Loss
from .clock import now_ms
from .reply_reader import HeaderNames
from .server_link import LinkState, ServerLink

__all__ = ('ServerPool',)

#: A connection within a region opens in a few milliseconds; a server that
#: takes this long is taken for unreachable.
_CONNECT_TIMEOUT_S: Final = 1.0
#: Attempts that nobody waits for any more may still finish within this, so
#: that the connection can be kept.
_ABANDONED_MS: Final = 300.0
_MS_PER_S: Final = 1000.0
#: Less time than this is not worth a sub-request.
_LEAST_LEFT_MS: Final = 1.0


@final
class ServerPool:  # noqa: WPS214 -- one owner of a server's connections
    """Keeps connections open, at most as many as this VM may hold.

    :ivar record: the server.
    """

    def __init__(
        self,
        record: ServerRecord,
        names: HeaderNames,
        most_links: Callable[[], int],
    ) -> None:
        """Start without a connection.

        :param most_links: tells how many connections this VM may hold now.
        """
        self.record = record
        self._names = names
        self._most_links = most_links
        self._links: set[ServerLink] = set()
        self._idle: list[ServerLink] = []
        self._waiting: deque[Attempt] = deque()
        self._opening: set[asyncio.Task[None]] = set()
        self._is_closed = False

    @property
    def load(self) -> int:
        """Attempts that wait or are out."""
        busy = len(self._links) - len(self._idle)
        return busy + len(self._waiting)

    @property
    def has_idle_connection(self) -> bool:
        """Whether a connection is open and free."""
        return bool(self._idle)

    @property
    def link_count(self) -> int:
        """Connections open or being opened."""
        return len(self._links)

    def submit(self, attempt: Attempt) -> None:
        """Send an attempt as soon as a connection is free."""
        attempt.started_ms = now_ms()
        link = self._take_idle(attempt.started_ms)
        if link is not None:
            link.send(attempt)
            return
        self._waiting.append(attempt)
        if self._wants_link():
            self._open()

    def abandon(self, attempt: Attempt) -> None:
        """Lose interest in an attempt, letting it finish if it is quick."""
        attempt.ended = True
        if attempt.sent_ms is None:
            if attempt in self._waiting:
                self._waiting.remove(attempt)
            return
        link = self._link_of(attempt)
        if link is not None:
            asyncio.get_running_loop().call_later(
                _ABANDONED_MS / _MS_PER_S, self._cut, link, attempt
            )

    def retire(self) -> None:
        """Send nothing more; what was sent may finish."""
        self._is_closed = True
        while self._waiting:
            self._waiting.popleft().end(Loss.WITHDRAWN)
        for link in tuple(self._idle):
            link.close()

    def _wants_link(self) -> bool:
        return len(self._opening) < len(self._waiting) and (
            len(self._links) < self._most_links()
        )

    def _take_idle(self, at_ms: float) -> ServerLink | None:
        while self._idle:
            link = self._idle.pop()
            if link.is_fresh(at_ms):
                return link
            link.close()
        return None

    def _link_of(self, attempt: Attempt) -> ServerLink | None:
        for link in self._links:
            if link.attempt is attempt:
                return link
        return None

    def _cut(self, link: ServerLink, attempt: Attempt) -> None:
        if link.attempt is attempt:
            link.close()

    def _open(self) -> None:
        link = ServerLink(self._names, self._on_rest)
        self._links.add(link)
        task = asyncio.get_running_loop().create_task(self._connect(link))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self, link: ServerLink) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: link, self.record.host, self.record.port
                )
        except OSError:
            link.close()
            self._lose_first(Loss.CONNECT_FAILED)

    def _lose_first(self, loss: Loss) -> None:
        """Fail the attempt that has waited longest for a connection."""
        if self._waiting:
            self._waiting.popleft().end(loss)
        if self._wants_link():
            self._open()

    def _on_rest(self, link: ServerLink) -> None:
        if link.state is LinkState.CLOSED:
            self._links.discard(link)
            if link in self._idle:
                self._idle.remove(link)
            if self._waiting and self._wants_link() and not self._is_closed:
                self._open()
        elif self._is_closed:
            link.close()
        else:
            self._serve(link)

    def _serve(self, link: ServerLink) -> None:
        at_ms = now_ms()
        while self._waiting:
            attempt = self._waiting.popleft()
            if attempt.deadline_ms - at_ms >= _LEAST_LEFT_MS:
                link.send(attempt)
                return
            attempt.end(Loss.EXPIRED)
        self._idle.append(link)
