"""The port for callers and the connections on it."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self, final

from ..catalog.routes import CallerLimits
from .caller_link import CallerLink, LinkPhase
from .clock import now_ms
from .reply_reader import HeaderNames
from .requests import Answer, CallerRequest

__all__ = ('CallerPort',)

#: How often connections are looked at for being idle or slow.
_SWEEP_S: Final = 0.5
#: Connections that the kernel takes before the process does.
_BACKLOG: Final = 512

Handle = Callable[[CallerRequest, Callable[[Answer], None]], None]


@final
class CallerPort:
    """Listens, and closes connections that are overdue or to end."""

    def __init__(
        self,
        address: tuple[str, int],
        names: HeaderNames,
        limits: Callable[[], CallerLimits],
        handle: Handle,
    ) -> None:
        """Prepare; nothing listens before the port is entered."""
        self._address = address
        self._names = names
        self._limits = limits
        self._handle = handle
        self._links: set[CallerLink] = set()
        self._server: asyncio.Server | None = None
        self._sweeping: asyncio.Task[None] | None = None
        self._is_ending = False

    async def __aenter__(self) -> Self:
        """Listen."""
        loop = asyncio.get_running_loop()
        host, port = self._address
        self._server = await loop.create_server(
            self._accept, host, port, backlog=_BACKLOG
        )
        self._sweeping = loop.create_task(self._sweep())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and close every connection."""
        if self._sweeping is not None:
            self._sweeping.cancel()
        self.stop_listening()
        for link in tuple(self._links):
            link.abort()

    @property
    def in_progress(self) -> int:
        """Connections on which a request is read or served."""
        busy = (LinkPhase.READING, LinkPhase.SERVING)
        return sum(link.phase in busy for link in self._links)

    @property
    def link_count(self) -> int:
        """Connections open."""
        return len(self._links)

    def end_links(self) -> None:
        """Let each connection end with its next answer."""
        self._is_ending = True
        for link in self._links:
            link.is_last = True

    def close_idle(self) -> None:
        """Close the connections that nothing is read or served on."""
        for link in tuple(self._links):
            link.close_if_idle()

    def stop_listening(self) -> None:
        """Take no new connection."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def _accept(self) -> CallerLink:
        link = CallerLink(
            self._names, self._limits, self._handle, self._links.discard
        )
        link.is_last = self._is_ending
        self._links.add(link)
        return link

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            at_ms = now_ms()
            for link in tuple(self._links):
                link.close_if_overdue(at_ms)
