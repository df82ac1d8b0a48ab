"""A loopback proxy that delays, resets, silences and cuts one way."""

import asyncio
from contextlib import AsyncExitStack, suppress
from enum import Enum, unique
from typing import Final, final

from dandelionstage.lifecycle.resource_owner import ResourceOwner

__all__ = ('Proxy', 'Way')

_PIECE: Final = 65_536
_DELAY_S: Final = 0.12


@unique
class Way(Enum):
    """What happens to bytes."""

    OPEN = 'open'
    DELAYED = 'delayed'
    #: New connections are reset, and old ones with their next bytes.
    RESET = 'reset'
    #: Bytes are dropped both ways; connections stay open.
    SILENT = 'silent'
    #: Requests arrive, their answers do not.
    ONE_WAY = 'one_way'


@final
class Proxy(ResourceOwner):
    """Listens for one peer and passes its bytes on to another.

    :ivar way: what happens to bytes; may be changed at any time.
    """

    def __init__(self, own: tuple[str, int], target: str) -> None:
        """Prepare; nothing listens before the proxy is entered.

        :param target: host and port passed on to.
        """
        self.way = Way.OPEN
        self.address = '{0}:{1}'.format(*own)
        self._own = own
        self._target = target.rsplit(':', 1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def _open(self, stack: AsyncExitStack) -> None:
        server = await asyncio.start_server(self._accept, *self._own)
        stack.callback(self._cancel)
        stack.callback(server.close)

    def _cancel(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._join(reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.way is Way.RESET:
            writer.transport.abort()
            return
        with suppress(OSError):
            there = await asyncio.open_connection(*self._target)
            back = self._pass(there[0], writer, is_answer=True)
            passing = asyncio.get_running_loop().create_task(back)
            try:
                await self._pass(reader, there[1], is_answer=False)
            finally:
                passing.cancel()
                there[1].transport.abort()
        writer.transport.abort()

    async def _pass(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        with suppress(OSError):
            while piece := await source.read(_PIECE):
                if self.way is Way.RESET:
                    break
                if self.way is Way.DELAYED:
                    await asyncio.sleep(_DELAY_S)
                is_cut = is_answer and self.way is Way.ONE_WAY
                if self.way is not Way.SILENT and not is_cut:
                    sink.write(piece)
        sink.transport.abort()
