"""The port for callers and the connections on it."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final, final

from ..catalog.routes import CallerLimits
from ..lifecycle.owning import Owner
from ..lifecycle.pause import PauseDetector
from .caller_connection import CallerLink, Handle, LinkPhase, LinkTools
from .clock import now_ms
from .delivery_times import DeliveryTimes
from .reply_reader import HeaderNames

__all__ = ('CallerListener',)

#: How often connections are looked at for being idle or slow.
_SWEEP_S: Final = 0.25
#: A sweep that comes this late shows that the process did not run.
_PAUSE_MS: Final = 750.0
#: Connections that the kernel takes before the process does.
_BACKLOG: Final = 512


@final
class CallerListener(Owner):  # noqa: WPS214 -- short methods
    """Listens, and closes connections that are overdue or to end."""

    def __init__(
        self,
        address: tuple[str, int],
        header_names: HeaderNames,
        limits: Callable[[], CallerLimits],
        handle: Handle,
        delivery_times: DeliveryTimes,
    ) -> None:
        """Prepare; nothing listens before the port is entered."""
        self._address = address
        self._pauses = PauseDetector(_PAUSE_MS)
        self._tools = LinkTools(
            header_names, limits, handle, self._pauses.unread_ms, delivery_times
        )
        self._links: set[CallerLink] = set()
        self._server: asyncio.Server | None = None
        self._is_ending = False

    @property
    def in_progress(self) -> int:
        """Connections on which a request is read or served."""
        busy = (LinkPhase.READING, LinkPhase.SERVING)
        return sum(link.phase in busy for link in self._links)

    @property
    def connection_count(self) -> int:
        """Connections open."""
        return len(self._links)

    def unread_ms(self, at_ms: float) -> float:
        """Tell how long bytes read now may have lain unread."""
        return self._pauses.unread_ms(at_ms)

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
        for link in tuple(self._links):
            link.abort()

    def _accept(self) -> CallerLink:
        link = CallerLink(self._tools, self._links.discard)
        link.is_last = self._is_ending
        self._links.add(link)
        return link

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            at_ms = now_ms()
            self._pauses.beat(at_ms)
            for link in tuple(self._links):
                link.close_if_overdue(at_ms)
