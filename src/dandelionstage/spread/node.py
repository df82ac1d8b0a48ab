"""Tells other VMs who is there and how much of the store is known."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import AsyncExitStack
from random import Random
from typing import Any, Final, cast, final

import msgspec

from ..catalog.catalog import Catalog
from ..catalog.servers import ServerId
from ..gateway.clock import now_ms
from ..lifecycle.resource_owner import ResourceOwner
from ..model.ids import VmId
from ..operations.events import EventLog
from ..placing.loans import Loan, Loans
from ..placing.slow_news import SlowServer
from .frames import host_and_port
from .members import Address, Members
from .messages import PROTOCOL, Hello, Known, decode_hello, encode
from .pulls import Puller, PullPort

__all__ = ('FANOUT', 'LONGEST_ROUND_S', 'SHORTEST_ROUND_S', 'SpreadNode')

#: A hello goes to this many VMs each round, so that news goes round in a
#: number of rounds that is the logarithm of the fleet.  Rounds are spread
#: between the shortest and the longest, so that no two VMs keep in step.
SHORTEST_ROUND_S: Final = 0.4
LONGEST_ROUND_S: Final = 0.6
FANOUT: Final = 2
#: News is told at once to this many; with each telling on, fewer than 1 in
#: 400 VMs miss it, and these have it from the next round.
_NEWS_FANOUT: Final = 6
#: Part of the rounds in which a VM that is not heard from is asked for a
#: reply: a partition may be over.
_LOST_FRACTION: Final = 0.25
#: A VM that is new here asks for replies this often.
_FIRST_ROUND_S: Final = 0.1
_FIRST_ROUNDS: Final = 10


@final
class SpreadNode(  # noqa: WPS214 -- one owner of a port, short methods
    ResourceOwner
):
    """Keeps this VM's members and catalog in step with the other VMs.

    :ivar members: the VMs known.
    :ivar is_leaving: whether this VM is stopping.
    :ivar tell_slow: lists the servers that this VM has met slow.
    :ivar heed_slow: takes in what another VM has met.
    :ivar loans: shares of the fleet's budget lent and borrowed.
    :ivar lend: lends a part of this VM's share to one that asks.
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
        self.tell_slow: Callable[[], list[SlowServer]] = list
        self.heed_slow: Callable[[list[SlowServer]], None] = _heed_none
        self.loans = Loans()
        self.lend: Callable[[VmId, float], Loan | None] = _lend_none
        self._puller = Puller(catalog, log, self.tell_news)
        self._seeds: tuple[Address, ...] = ()
        self._transport: asyncio.DatagramTransport | None = None

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

    def hello(self, *, wants_reply: bool, loan: Loan | None = None) -> bytes:
        """Write what this VM tells another."""
        at_ms = now_ms()
        return encode(
            Hello(
                PROTOCOL,
                self._own,
                self._data_centre,
                self._catalog.as_of,
                self.members.has_store,
                self.is_leaving,
                wants_reply,
                list(self._list_known()),
                list(self.tell_slow()),
                at_ms if self.loans.is_needed(at_ms) else None,
                loan,
            )
        )

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
        sender = Address(VmId(hello.vm))
        self._hear(sender, hello)
        if hello.loan is not None:
            self.loans.accept(sender, hello.loan)
        loan = self._loan_for(sender, hello)
        if hello.wants_reply or loan is not None:
            self._say_hello(sender, wants_reply=False, loan=loan)
        self._puller.note(sender, hello.as_of)
        self.heed_slow(_as_slow(hello))

    def _hear(self, sender: Address, hello: Hello) -> None:
        """Take in who is there."""
        at_ms = now_ms()
        has_store = hello.has_store and not hello.is_leaving
        is_new = self.members.hear(
            sender, hello.data_centre, at_ms, has_store=has_store
        )
        for known in hello.known:
            self.members.hear(
                Address(VmId(known.vm)),
                known.data_centre,
                at_ms - known.age_ms,
                has_store=known.has_store,
            )
        if is_new:
            self._log.event(
                'peer_found', peer=sender, members=len(self.members)
            )

    def _loan_for(self, sender: Address, hello: Hello) -> Loan | None:
        if hello.asked_ms is None or self.is_leaving:
            return None
        return self.lend(sender, hello.asked_ms)

    def _say_hello(
        self, vm: Address, *, wants_reply: bool, loan: Loan | None = None
    ) -> None:
        if self._transport is not None and not self._transport.is_closing():
            datagram = self.hello(wants_reply=wants_reply, loan=loan)
            self._transport.sendto(datagram, host_and_port(vm))

    def _list_known(self) -> Iterator[Known]:
        at_ms = now_ms()
        for vm, seen in self.members.to_tell(at_ms, self._random):
            age_ms = max(0, int(at_ms - seen.heard_ms))
            yield Known(vm, seen.data_centre, age_ms, seen.has_store)

    async def _open(self, stack: AsyncExitStack) -> None:
        loop = asyncio.get_running_loop()
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: cast(asyncio.DatagramProtocol, _Datagrams(self)),
            local_addr=host_and_port(self._own),
        )
        self._transport = transport
        stack.callback(transport.close)
        port = PullPort(self._own, self._catalog, self._log)
        await stack.enter_async_context(port)
        stack.callback(self._puller.cancel)
        stack.callback(loop.create_task(self._run()).cancel)

    async def _run(self) -> None:
        for _ in range(_FIRST_ROUNDS):
            self._say_hellos(self._seeds, wants_reply=True)
            self._say_hellos(self._draw(), wants_reply=True)
            await asyncio.sleep(_FIRST_ROUND_S)
        while True:
            self._say_hellos(self._draw(), wants_reply=False)
            if self._random.random() < _LOST_FRACTION:
                self._say_hellos(self._draw_lost(), wants_reply=True)
            self.members.forget(now_ms())
            round_s = self._random.uniform(SHORTEST_ROUND_S, LONGEST_ROUND_S)
            await asyncio.sleep(round_s)

    def _say_hellos(self, vms: Iterable[Address], *, wants_reply: bool) -> None:
        for vm in vms:
            self._say_hello(vm, wants_reply=wants_reply)

    def _draw(self) -> list[Address]:
        alive = self.members.alive(now_ms())
        return self._random.sample(alive, min(FANOUT, len(alive)))

    def _draw_lost(self) -> list[Address]:
        """Draw one VM that is not heard from."""
        alive = frozenset(self.members.alive(now_ms()))
        known = {*self._seeds, *self.members.known()}
        lost = sorted(known - alive)
        return self._random.sample(lost, min(1, len(lost)))


def _as_slow(hello: Hello) -> list[SlowServer]:
    return [(ServerId(name), ratio) for name, ratio in hello.slow]


def _lend_none(borrower: VmId, asked_ms: float) -> None:
    """Lend nothing: no budget is kept here."""


def _heed_none(told: list[SlowServer]) -> None:
    """Take in nothing: no servers are used here."""


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
