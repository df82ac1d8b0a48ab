"""The port on which this VM takes shards of other VMs' queries."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Final, final

from ..gateway.run_context import RunContext
from ..lifecycle.owning import Owner
from .link import RelayLink
from .messages import Ask, Drop, Message, Parts, Taken
from .relay_run import RelayRun

__all__ = ('RelayPort',)

#: Queries that one VM takes a part of at once.  Each takes a small core some
#: milliseconds, so more would be late; their VMs then turn to the next.
_MOST_RUNS: Final = 8


@final
class RelayPort(Owner):  # noqa: WPS214 -- one port, short methods
    """Runs what other VMs ask, and stops it when they are gone."""

    def __init__(
        self,
        address: tuple[str, int],
        tools: RunContext,
        unread_ms: Callable[[float], float],
        may_take: Callable[[], bool],
    ) -> None:
        """Prepare; nothing listens before the port is entered.

        :param unread_ms: how long bytes read now may have lain unread.
        :param may_take: whether this VM takes new work.
        """
        self._address = address
        self._tools = tools
        self._unread_ms = unread_ms
        self._may_take = may_take
        self._runs: dict[tuple[RelayLink, int], RelayRun] = {}
        self._links: set[RelayLink] = set()

    async def _open(self, stack: AsyncExitStack) -> None:
        server = await asyncio.get_running_loop().create_server(
            self._accept, *self._address
        )
        stack.callback(self._close_all)
        stack.callback(server.close)

    def _accept(self) -> RelayLink:
        link = RelayLink(self._receive, self._lose)
        self._links.add(link)
        return link

    def _close_all(self) -> None:
        for link in tuple(self._links):
            link.close('this VM stops')

    def _receive(self, link: RelayLink, message: Message) -> None:
        if isinstance(message, Ask):
            self._start(link, message)
        elif isinstance(message, Drop):
            run = self._runs.pop((link, message.number), None)
            if run is not None:
                run.cancel()

    def _start(self, link: RelayLink, ask: Ask) -> None:
        now_ms = self._tools.now_ms()
        run = RelayRun(
            ask,
            self._unread_ms(now_ms),
            self._tools,
            partial(self._report, link),
        )
        is_free = len(self._runs) < _MOST_RUNS and self._may_take()
        is_taken = is_free and not run.is_hopeless
        link.send(Taken(ask.number, is_taken))
        if is_taken:
            self._runs[link, ask.number] = run
            run.start()
            return
        self._tools.log.event(
            'relay_refused',
            request=ask.request_id.decode('latin-1'),
            runs=len(self._runs),
            answer_left_ms=round(ask.answer_left_ms, 1),
        )

    def _report(self, link: RelayLink, parts: Parts) -> None:
        if parts.is_last:
            self._runs.pop((link, parts.number), None)
        link.send(parts)

    def _lose(self, link: RelayLink, reason: str) -> None:
        self._links.discard(link)
        lost = [key for key in self._runs if key[0] is link]
        for key in lost:
            self._runs.pop(key).cancel()
