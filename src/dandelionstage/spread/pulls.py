"""Transfer of catalog items from VMs with newer catalogs."""

import asyncio
import zlib
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final, final

import msgspec

from ..catalog.catalog import Catalog, CatalogItem
from ..catalog.positions import StoreRevision, log_fields
from ..lifecycle.resource_owner import ResourceOwner
from ..operations.events import EventLog
from .frames import FrameError, host_and_port, read_frame, write_frame
from .members import Address
from .messages import (
    PROTOCOL,
    PullReply,
    PullRequest,
    StoredItem,
    decode_pull_reply,
    decode_pull_request,
    encode,
)

__all__ = ('PullLimits', 'PullListener', 'Puller', 'build_pull_reply')

#: Time limit for a whole pull, on both sides.
_TIMEOUT_S: Final = 2.0
#: Another VM is asked too if one has not replied within this time.
_LATE_REPLY_S: Final = 0.5
#: Pulls in progress at a time: each holds a received catalog.
_MAX_PULLS: Final = 2
#: Fastest compression of zlib.
_COMPRESSION_LEVEL: Final = 1
#: A request holds only two numbers.
_MAX_REQUEST_BYTES: Final = 256
#: Pulls answered at a time: each holds a copy of the catalog's items.
_MAX_CONCURRENT_ANSWERS: Final = 8
#: Fractions of a VM's memory that a received catalog may take, compressed and
#: uncompressed.
_COMPRESSED_FRACTION: Final = 0.08
_UNCOMPRESSED_FRACTION: Final = 0.33
_BYTES_PER_MB: Final = 1_000_000
#: Exceptions caused by the other VM or by the network.
_PEER_ERRORS: Final = (
    OSError,
    EOFError,
    FrameError,
    msgspec.MsgspecError,
    zlib.error,
)


@final
@dataclass(frozen=True, slots=True)
class PullLimits:
    """Maximum size of a received catalog.

    :ivar compressed_bytes: size of the frame.
    :ivar uncompressed_bytes: size of its uncompressed content.
    """

    compressed_bytes: int
    uncompressed_bytes: int

    @classmethod
    def within(cls, memory_mb: float) -> 'PullLimits':
        """Return the limits for a VM with this much memory."""
        memory_bytes = memory_mb * _BYTES_PER_MB
        return cls(
            int(memory_bytes * _COMPRESSED_FRACTION),
            int(memory_bytes * _UNCOMPRESSED_FRACTION),
        )


@final
class Puller:  # noqa: WPS214 -- short methods
    """Pulls items until the catalog is as new as that of any known VM.

    A VM that has died or is paused never replies, so another one is asked
    meanwhile.
    """

    def __init__(
        self,
        catalog: Catalog,
        log: EventLog,
        limits: PullLimits,
        on_change: Callable[[], None],
    ) -> None:
        """Create a puller that knows of no newer catalog.

        :param limits: maximum size of a received catalog.
        :param on_change: called after each successful pull.
        """
        self._catalog = catalog
        self._log = log
        self._limits = limits
        self._on_change = on_change
        self._newer_peers: dict[Address, int] = {}
        self._task: asyncio.Task[None] | None = None
        self._pulls: dict[Address, asyncio.Task[None]] = {}

    def pull_if_newer(self, peer: Address, as_of: int) -> None:
        """Pull from a VM if its catalog is newer.

        :param as_of: store revision up to which that catalog is complete.
        """
        if as_of <= self._catalog.as_of or peer in self._pulls:
            return
        self._newer_peers[peer] = as_of
        if self._task is None or self._task.done():
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._pull_all())

    def cancel(self) -> None:
        """Cancel the pulls in progress, if any."""
        if self._task is not None:
            self._task.cancel()
        for pull in self._pulls.values():
            pull.cancel()

    async def _pull_all(self) -> None:
        """Pull from the VM with the newest catalog until none is newer."""
        while self._newer_peers:
            peer = max(self._newer_peers, key=self._newer_peers.__getitem__)
            if self._newer_peers.pop(peer) > self._catalog.as_of:
                await self._start_pull(peer)

    async def _start_pull(self, peer: Address) -> None:
        """Pull from a VM; return when another pull may start."""
        pull = asyncio.get_running_loop().create_task(self._pull_from(peer))
        self._pulls[peer] = pull
        pull.add_done_callback(lambda _: self._pulls.pop(peer, None))
        await asyncio.wait((pull,), timeout=_LATE_REPLY_S)
        if len(self._pulls) >= _MAX_PULLS:
            await asyncio.wait(
                self._pulls.values(), return_when=asyncio.FIRST_COMPLETED
            )

    async def _pull_from(self, peer: Address) -> None:
        try:
            reply = await asyncio.wait_for(self._request(peer), _TIMEOUT_S)
        except _PEER_ERRORS as error:
            self._log.event('pull_failed', peer=peer, fault=repr(error))
            return
        if reply.protocol == PROTOCOL:
            self._apply(peer, reply)
        else:
            self._log.event('pull_failed', peer=peer, fault=reply.protocol)

    async def _request(self, peer: Address) -> PullReply:
        reader, writer = await asyncio.open_connection(*host_and_port(peer))
        write_frame(writer, encode(PullRequest(PROTOCOL, self._catalog.as_of)))
        try:
            compressed = await read_frame(reader, self._limits.compressed_bytes)
        finally:
            writer.close()
        return decode_pull_reply(
            _decompress(compressed, self._limits.uncompressed_bytes)
        )

    def _apply(self, peer: Address, reply: PullReply) -> None:
        as_of = StoreRevision(reply.as_of)
        items = [
            CatalogItem(
                each.key, StoreRevision(each.revision), each.raw, each.is_older
            )
            for each in reply.items
        ]
        if reply.is_full and as_of >= self._catalog.as_of:
            missing = self._catalog.keys_missing_from(
                item.key for item in items
            )
            items += [CatalogItem(key, as_of, None) for key in missing]
            self._catalog.note_complete_read(as_of)
        changed = self._catalog.apply(
            self._catalog.without_removed(items, as_of), as_of
        )
        routes = self._catalog.routes
        self._log.event(
            'catalog_pulled',
            peer=peer,
            **log_fields(as_of),
            changed=changed,
            routes_version=routes.version if routes else None,
        )
        self._on_change()


@final
class PullListener(ResourceOwner):
    """Listener that answers pull requests from the catalog."""

    def __init__(
        self, address: Address, catalog: Catalog, log: EventLog
    ) -> None:
        """Create a listener; it opens its port on entering the context."""
        self._address = address
        self._catalog = catalog
        self._log = log
        self._answering = 0

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
        if self._answering >= _MAX_CONCURRENT_ANSWERS:
            self._log.event('pull_unanswered', fault='too many pulls')
            writer.close()
            return
        self._answering += 1
        try:
            await asyncio.wait_for(self._answer(reader, writer), _TIMEOUT_S)
        except _PEER_ERRORS as error:
            self._log.event('pull_unanswered', fault=repr(error))
        finally:
            self._answering -= 1
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = decode_pull_request(
            await read_frame(reader, _MAX_REQUEST_BYTES)
        )
        reply = build_pull_reply(self._catalog, StoreRevision(request.since))
        write_frame(writer, zlib.compress(encode(reply), _COMPRESSION_LEVEL))
        await writer.drain()


def build_pull_reply(catalog: Catalog, since: StoreRevision) -> PullReply:
    """Return what changed since a revision, or everything.

    A VM that was started after a removal does not know of it.  It sends all
    items to a VM whose catalog is older, which removes the others.
    """
    is_full = not catalog.remembers_removals_since(since)
    items = catalog.items_since(StoreRevision(0) if is_full else since)
    stored = [
        StoredItem(each.key, each.revision, each.raw, each.is_older)
        for each in items
        if each.raw is not None or not is_full
    ]
    return PullReply(PROTOCOL, catalog.as_of, stored, is_full)


def _decompress(compressed: bytes, max_bytes: int) -> bytes:
    """Decompress a whole stream.

    :raises FrameError: if the content exceeds the maximum length or ends
        early.
    """
    stream = zlib.decompressobj()
    content = stream.decompress(compressed, max_bytes)
    if stream.unconsumed_tail:
        raise FrameError(
            'frame expands to more than the limit of {0} bytes'.format(
                max_bytes
            )
        )
    if not stream.eof:
        raise FrameError('compressed frame ends early')
    return content
