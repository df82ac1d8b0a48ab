"""Talks to the other VMs: hellos as datagrams, state over connections."""

import asyncio
import contextlib
import zlib
from collections.abc import Iterable
from random import Random
from types import TracebackType
from typing import Any, Final, Self, cast, final

import msgspec

from ..catalog.catalog import Catalog, Item
from ..catalog.servers import StoreRevision
from ..gateway.clock import now_ms
from ..operations.events import EventLog
from .members import Address, Members
from .messages import (
    PROTOCOL,
    Hello,
    Known,
    Pull,
    State,
    StoredItem,
    decode_hello,
    decode_pull,
    decode_state,
    encode,
)

__all__ = ('SpreadNode',)

#: A hello goes to this many VMs each round, so that news goes round in a
#: number of rounds that is the logarithm of the fleet.
_ROUND_S: Final = 0.4
_FANOUT: Final = 2
#: News is told at once to this many; with each telling on, fewer than 1 in
#: 400 VMs miss it, and these have it from the next round.
_NEWS_FANOUT: Final = 6
#: Known VMs told of in one hello; keeps it within one packet.
_KNOWN_TOLD: Final = 24
#: A VM that is new here asks for replies this often.
_FIRST_ROUND_S: Final = 0.1
_FIRST_ROUNDS: Final = 10
_PULL_TIMEOUT_S: Final = 2.0
_LENGTH_BYTES: Final = 4
_MOST_STATE_BYTES: Final = 64 * 1024 * 1024
_COMPRESSION: Final = 1


@final
class SpreadNode:  # noqa: WPS214 -- a protocol's callbacks and one owner
    """Keeps this VM's members and catalog in step with the other VMs.

    :ivar members: the VMs known.
    """

    def __init__(
        self,
        own: Address,
        data_centre: str,
        catalog: Catalog,
        log: EventLog,
        random: Random,
    ) -> None:
        """Prepare a node.

        :param own: where the others reach it; datagrams and connections
            use the same port.
        """
        self.members = Members(own, data_centre)
        self.is_leaving = False
        self._own = own
        self._data_centre = data_centre
        self._catalog = catalog
        self._log = log
        self._random = random
        self._seeds: tuple[Address, ...] = ()
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._pulling: asyncio.Task[None] | None = None
        self._rounds: asyncio.Task[None] | None = None
        self._ahead: dict[Address, int] = {}

    async def __aenter__(self) -> Self:
        """Listen and say hello."""
        host, port = _split(self._own)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: cast(asyncio.DatagramProtocol, _Datagrams(self)),
            local_addr=(host, port),
        )
        self._server = await asyncio.start_server(self._serve, host, port)
        self._rounds = loop.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening."""
        for task in (self._rounds, self._pulling):
            if task is not None:
                task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def use_seeds(self, seeds: Iterable[Address]) -> None:
        """Say hello to these until other VMs are known."""
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    def tell_news(self) -> None:
        """Tell others at once that this VM knows something new."""
        alive = self.members.alive(now_ms())
        for vm in self._random.sample(alive, min(_NEWS_FANOUT, len(alive))):
            self._say_hello(vm, wants_reply=False)

    def leave(self) -> None:
        """Tell others that this VM is stopping."""
        self.is_leaving = True
        self.members.has_store = False
        self.tell_news()

    def receive(self, datagram: bytes) -> None:
        """Take in a hello."""
        try:
            hello = decode_hello(datagram)
        except msgspec.MsgspecError as fault:
            self._log.event('hello_unreadable', fault=str(fault))
            return
        if hello.protocol == PROTOCOL:
            self._meet(hello)

    def _meet(self, hello: Hello) -> None:
        at_ms = now_ms()
        sender = Address(hello.vm)
        has_store = hello.has_store and not hello.is_leaving
        is_new = self.members.hear(
            sender, hello.data_centre, at_ms, has_store=has_store
        )
        for known in hello.known:
            self.members.hear(
                Address(known.vm),
                known.data_centre,
                at_ms - known.age_ms,
                has_store=known.has_store,
            )
        if is_new:
            self._log.event(
                'peer_found', peer=sender, members=len(self.members)
            )
        if hello.wants_reply:
            self._say_hello(sender, wants_reply=False)
        if hello.as_of > self._catalog.as_of:
            self._ahead[sender] = hello.as_of
            self._want_pull()

    def _say_hello(self, vm: Address, *, wants_reply: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        at_ms = now_ms()
        hello = Hello(
            PROTOCOL,
            self._own,
            self._data_centre,
            self._catalog.as_of,
            self.members.has_store,
            self.is_leaving,
            wants_reply,
            [
                Known(
                    other,
                    seen.data_centre,
                    max(0, int(at_ms - seen.heard_ms)),
                    seen.has_store,
                )
                for other, seen in self.members.sample(
                    _KNOWN_TOLD, self._random
                )
            ],
        )
        self._transport.sendto(encode(hello), _split(vm))

    async def _run(self) -> None:
        for _ in range(_FIRST_ROUNDS):
            self._say_hellos(self._seeds, wants_reply=True)
            self._say_hellos(self._draw(), wants_reply=True)
            await asyncio.sleep(_FIRST_ROUND_S)
        while True:
            self._say_hellos(self._draw(), wants_reply=False)
            self._say_hellos(self._lost_seeds(), wants_reply=True)
            self.members.forget(now_ms())
            # Spread over the round, so that no two VMs keep in step.
            await asyncio.sleep(_ROUND_S * (1 + self._random.random()) / 1.5)

    def _say_hellos(self, vms: Iterable[Address], *, wants_reply: bool) -> None:
        for vm in vms:
            self._say_hello(vm, wants_reply=wants_reply)

    def _draw(self) -> list[Address]:
        alive = self.members.alive(now_ms())
        return self._random.sample(alive, min(_FANOUT, len(alive)))

    def _lost_seeds(self) -> list[Address]:
        """Draw one seed that is not heard from: a partition may be over."""
        alive = set(self.members.alive(now_ms()))
        lost = [seed for seed in self._seeds if seed not in alive]
        known = [vm for vm, _ in self.members.sample(1, self._random)]
        return self._random.sample(lost, min(1, len(lost))) + [
            vm for vm in known if vm not in alive
        ]

    def _want_pull(self) -> None:
        if self._pulling is None or self._pulling.done():
            loop = asyncio.get_running_loop()
            self._pulling = loop.create_task(self._pull_all())

    async def _pull_all(self) -> None:
        """Pull from who is ahead until nobody is."""
        while self._ahead:
            peer, as_of = max(self._ahead.items(), key=lambda each: each[1])
            self._ahead.pop(peer)
            if as_of <= self._catalog.as_of:
                continue
            try:
                await asyncio.wait_for(self._pull(peer), _PULL_TIMEOUT_S)
            except (OSError, EOFError, ValueError, zlib.error) as fault:
                self._log.event('pull_failed', peer=peer, fault=repr(fault))

    async def _pull(self, peer: Address) -> None:
        reader, writer = await asyncio.open_connection(*_split(peer))
        try:
            _write(writer, Pull(PROTOCOL, self._catalog.as_of))
            state = decode_state(zlib.decompress(await _read(reader)))
        finally:
            writer.close()
        if state.protocol != PROTOCOL:
            raise ValueError('protocol {0}'.format(state.protocol))
        items = [
            Item(each.key, StoreRevision(each.revision), each.raw)
            for each in state.items
        ]
        count = self._catalog.take(items, StoreRevision(state.as_of))
        routes = self._catalog.routes
        self._log.event(
            'catalog_pulled',
            peer=peer,
            as_of=state.as_of,
            changed=count,
            routes_version=routes.version if routes else None,
        )
        self.tell_news()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one pull."""
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(_PULL_TIMEOUT_S):
                await self._answer_pull(reader, writer)
        writer.close()

    async def _answer_pull(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            pull = decode_pull(await _read(reader))
        except (msgspec.MsgspecError, ValueError) as fault:
            self._log.event('pull_unreadable', fault=str(fault))
            return
        since = StoreRevision(pull.since)
        items = [
            StoredItem(item.key, item.revision, item.raw)
            for item in self._catalog.items_since(since)
        ]
        state = State(PROTOCOL, self._catalog.as_of, items)
        writer.write(_frame(zlib.compress(encode(state), _COMPRESSION)))
        await writer.drain()


@final
class _Datagrams(asyncio.DatagramProtocol):
    """Hands datagrams to the node."""

    def __init__(self, node: SpreadNode) -> None:
        self._node = node

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Take in a datagram."""
        self._node.receive(data)


def _split(address: Address) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _frame(body: bytes) -> bytes:
    return len(body).to_bytes(_LENGTH_BYTES, 'big') + body


def _write(writer: asyncio.StreamWriter, message: msgspec.Struct) -> None:
    writer.write(_frame(encode(message)))


async def _read(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), 'big')
    if length > _MOST_STATE_BYTES:
        raise ValueError('frame of {0} bytes'.format(length))
    return await reader.readexactly(length)
