"""Pulls what another VM knows already, and answers such pulls."""

import asyncio
import zlib
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final, final

import msgspec

from ..catalog.catalog import Catalog, Item
from ..catalog.servers import StoreRevision
from ..lifecycle.resource_owner import ResourceOwner
from ..operations.events import EventLog
from .frames import FrameError, host_and_port, read_frame, write_frame
from .members import Address
from .messages import (
    PROTOCOL,
    Pull,
    State,
    StoredItem,
    decode_pull,
    decode_state,
    encode,
)

__all__ = ('PullPort', 'Puller')

_TIMEOUT_S: Final = 2.0
_COMPRESSION: Final = 1
#: Ways in which the other VM, or the path to it, may fail.
_FAULTS: Final = (
    OSError,
    EOFError,
    FrameError,
    msgspec.MsgspecError,
    zlib.error,
)


@final
class Puller:
    """Brings the catalog up to what any other VM is known to have."""

    def __init__(
        self,
        catalog: Catalog,
        log: EventLog,
        on_news: Callable[[], None],
    ) -> None:
        """Start in step with everybody.

        :param on_news: called after each pull that brought something.
        """
        self._catalog = catalog
        self._log = log
        self._on_news = on_news
        self._ahead: dict[Address, int] = {}
        self._task: asyncio.Task[None] | None = None

    def note(self, peer: Address, as_of: int) -> None:
        """Take in how much a VM knows; pull from it if that is more."""
        if as_of <= self._catalog.as_of:
            return
        self._ahead[peer] = as_of
        if self._task is None or self._task.done():
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._pull_all())

    def cancel(self) -> None:
        """Pull no more."""
        if self._task is not None:
            self._task.cancel()

    async def _pull_all(self) -> None:
        """Pull from who is ahead most, until nobody is."""
        while self._ahead:
            peer = max(self._ahead, key=self._ahead.__getitem__)
            if self._ahead.pop(peer) > self._catalog.as_of:
                await self._pull_from(peer)

    async def _pull_from(self, peer: Address) -> None:
        try:
            state = await asyncio.wait_for(self._ask(peer), _TIMEOUT_S)
        except _FAULTS as fault:
            self._log.event('pull_failed', peer=peer, fault=repr(fault))
            return
        if state.protocol == PROTOCOL:
            self._take(peer, state)
        else:
            self._log.event('pull_failed', peer=peer, fault=state.protocol)

    async def _ask(self, peer: Address) -> State:
        reader, writer = await asyncio.open_connection(*host_and_port(peer))
        write_frame(writer, encode(Pull(PROTOCOL, self._catalog.as_of)))
        try:
            answer = await read_frame(reader)
        finally:
            writer.close()
        return decode_state(zlib.decompress(answer))

    def _take(self, peer: Address, state: State) -> None:
        changed = self._catalog.take(
            [
                Item(each.key, StoreRevision(each.revision), each.raw)
                for each in state.items
            ],
            StoreRevision(state.as_of),
        )
        routes = self._catalog.routes
        self._log.event(
            'catalog_pulled',
            peer=peer,
            as_of=state.as_of,
            changed=changed,
            routes_version=routes.version if routes else None,
        )
        self._on_news()


@final
class PullPort(ResourceOwner):
    """Answers pulls from the catalog."""

    def __init__(
        self, address: Address, catalog: Catalog, log: EventLog
    ) -> None:
        """Prepare; nothing listens before the port is entered."""
        self._address = address
        self._catalog = catalog
        self._log = log

    async def _open(self, stack: AsyncExitStack) -> None:
        server = await asyncio.start_server(
            self._serve, *host_and_port(self._address)
        )
        stack.callback(server.close)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await asyncio.wait_for(self._answer(reader, writer), _TIMEOUT_S)
        except _FAULTS as fault:
            self._log.event('pull_unanswered', fault=repr(fault))
        writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pull = decode_pull(await read_frame(reader))
        since = StoreRevision(pull.since)
        stored = [
            StoredItem(each.key, each.revision, each.raw)
            for each in self._catalog.items_since(since)
        ]
        state = State(PROTOCOL, self._catalog.as_of, stored)
        write_frame(writer, zlib.compress(encode(state), _COMPRESSION))
        await writer.drain()
