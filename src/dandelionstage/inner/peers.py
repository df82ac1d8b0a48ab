"""Links to the other daemons: dialled on demand, accepted, watched."""

from collections import Counter
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self, final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from ..model.ids import VmId
from .link import Link, LinkEnd
from .link_table import LinkTable
from .messages import InnerMessage

__all__ = ('AddressBook', 'PeerLinks')

#: Says at which host and port a VM answers, ``None`` if it is not known.
AddressBook = Callable[[VmId], tuple[str, int] | None]

_CONNECT_TIMEOUT_S: Final = 1
_CHECK_EVERY_S: Final = 0.25
#: Accepted links from one address; a daemon needs one, two as it redials.
_MAX_LINKS_PER_HOST: Final = 64


@final
class PeerLinks:
    """Runs every link of a daemon; a context manager."""

    def __init__(self, table: LinkTable, addresses: AddressBook) -> None:
        """Prepare; no link is dialled before the first message."""
        self._table = table
        self._addresses = addresses
        self._per_host: Counter[str] = Counter()
        self._group: TaskGroup = anyio.create_task_group()

    async def __aenter__(self) -> Self:
        """Start to watch over the links."""
        await self._group.__aenter__()
        self._group.start_soon(_check_links, self._table)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """Close every link."""
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(kind, error, trace)

    def send(self, vm: VmId, message: InnerMessage) -> None:
        """Queue a message to a VM, dialling it if need be."""
        link = self._table.find(vm)
        if link is None:
            link = self._table.add(vm)
            self._group.start_soon(self._dial, vm, link)
        link.post(message)

    async def accept(self, stream: SocketStream) -> None:
        """Carry an accepted connection until it ends."""
        host = str(stream.extra(SocketAttribute.remote_address)[0])
        if self._per_host[host] >= _MAX_LINKS_PER_HOST:
            await anyio.aclose_forcefully(stream)
            return
        self._per_host[host] += 1
        try:
            await self._table.add(None).run(stream)
        finally:
            self._per_host[host] -= 1

    async def _dial(self, vm: VmId, link: Link) -> None:
        address = self._addresses(vm)
        stream = None if address is None else await _connect(*address)
        if stream is None:
            link.finish(LinkEnd.NOT_REACHED)
        else:
            await link.run(stream)


async def _check_links(table: LinkTable) -> None:
    while True:
        await anyio.sleep(_CHECK_EVERY_S)
        table.check()


async def _connect(host: str, port: int) -> SocketStream | None:
    with anyio.move_on_after(_CONNECT_TIMEOUT_S):
        try:
            return await anyio.connect_tcp(host, port)
        except OSError:
            return None
    return None
