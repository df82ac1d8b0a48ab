"""Exchange of membership and catalog revisions between VMs."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import AsyncExitStack
from random import Random
from typing import Any, Final, cast, final

import msgspec

from ..catalog.catalog import Catalog
from ..catalog.leaving_servers import LeavingServers
from ..catalog.servers import ServerId
from ..catalog.store_outages import StoreOutages
from ..gateway.clock import call_later, now_ms
from ..lifecycle.resource_owner import ResourceOwner
from ..model.ids import VmId
from ..operations.events import EventLog
from ..operations.supervision import start_supervised
from ..placing.budget_loans import Loan, Loans
from ..placing.deadly_requests import DeadlyRequests
from ..placing.server_limits import ServerLimits
from ..placing.slow_server_reports import SlowServer
from . import deadly_messages
from .deadly_exchange import DeadlyExchange
from .frames import host_and_port
from .members import Address, Members
from .messages import PROTOCOL, Hello, KnownMember, decode_hello, encode
from .permit_exchange import ExchangeContext, PermitExchange
from .permit_messages import PREFIX
from .pulls import Puller, PullLimits, PullListener

__all__ = ('FANOUT', 'MAX_ROUND_S', 'MIN_ROUND_S', 'GossipNode')

#: Bounds of the random duration of a round, so that VMs do not run in lockstep.
MIN_ROUND_S: Final = 0.4
MAX_ROUND_S: Final = 0.6
#: Number of VMs that get a hello in each round.  Information reaches the whole
#: fleet in a number of rounds that grows with the logarithm of its size.
FANOUT: Final = 2
#: Number of VMs that are notified of a change immediately.  Each of them
#: notifies others in turn, so fewer than 1 in 400 VMs miss the change; these
#: learn of it in the next round.
_CHANGE_FANOUT: Final = 6
#: Fraction of rounds in which a VM that is not alive is asked for a reply, as a
#: network partition may have ended.
_LOST_ROUND_FRACTION: Final = 0.25
#: Number of VMs of other data centres that are asked for a reply when all are
#: silent, out of this many that were heard from last.
_PROBE_FANOUT: Final = 3
_PROBE_CHOICE: Final = 12
#: A failed call to the store is news for this long, unless set otherwise.
_RECENT_OUTAGE_MS: Final = 4000.0
#: Duration and number of the rounds in which a starting VM asks for replies.
_STARTUP_ROUND_S: Final = 0.1
_STARTUP_ROUNDS: Final = 10


@final
class GossipNode(  # noqa: WPS214 -- many short methods
    ResourceOwner
):
    """Keeps this VM's members and catalog in sync with those of other VMs.

    :ivar members: table of the known VMs.
    :ivar is_leaving: whether this VM is stopping.
    :ivar outages: when the store answered, and failed to.
    :ivar leaving: servers that take no new work although they are listed.
    :ivar list_slow_servers: lists the servers that this VM recently found slow.
    :ivar apply_slow_reports: applies another VM's reports of slow servers.
    :ivar loans: retry budget lent and borrowed.
    :ivar limits: limits on requests that servers have named.
    :ivar permits: requests for permits to send to limited servers.
    :ivar deadly: requests under which servers ended.
    :ivar lend: lends part of this VM's retry budget; takes the borrower and
        the time of its request.
    """

    def __init__(  # noqa: WPS211 -- one for each collaborator
        self,
        own: Address,
        data_centre: str,
        catalog: Catalog,
        log: EventLog,
        random: Random,
        pull_limits: PullLimits,
    ) -> None:
        """Create a node; it opens its ports on entering the context.

        :param own: address of this VM; datagrams and connections use the
            same port number.
        :param pull_limits: maximum size of a received catalog.
        """
        self.members = Members(own, data_centre)
        self.is_leaving = False
        self.outages = StoreOutages(_RECENT_OUTAGE_MS)
        self.outages.on_news = self.announce_changes
        self.leaving = LeavingServers()
        self._own = own
        self._data_centre = data_centre
        self._catalog = catalog
        self._log = log
        self._random = random
        self.limits = ServerLimits()
        exchange_context = ExchangeContext(log, random, now_ms, call_later)
        self.permits = PermitExchange(
            own, self.members, self.limits, exchange_context
        )
        self.permits.send = self._send
        self.deadly = DeadlyRequests(random)
        self._deadly_exchange = DeadlyExchange(
            self.members, self.deadly, exchange_context
        )
        self._deadly_exchange.send = self._send
        self.list_slow_servers: Callable[[], list[SlowServer]] = list
        self.apply_slow_reports: Callable[[list[SlowServer]], None] = (
            _ignore_reports
        )
        self.loans = Loans()
        self.lend: Callable[[VmId, float], Loan | None] = _refuse_loan
        self._puller = Puller(catalog, log, pull_limits, self.announce_changes)
        self._seeds: tuple[Address, ...] = ()
        self._transport: asyncio.DatagramTransport | None = None

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the addresses that are used to discover other VMs.

        All are contacted at startup.  Later, those where no VM is alive are
        tried at random.
        """
        self._seeds = tuple(seed for seed in seeds if seed != self._own)

    def announce_changes(self) -> None:
        """Send hellos immediately because this VM's state has changed."""
        alive = self.members.alive(now_ms())
        for vm in self._random.sample(alive, min(_CHANGE_FANOUT, len(alive))):
            self._send_hello(vm, wants_reply=False)

    def leave(self) -> None:
        """Announce to other VMs that this VM is stopping."""
        self.is_leaving = True
        self.members.has_store = False
        self.announce_changes()

    def probe_elsewhere(self) -> None:
        """Ask some VMs of other data centres for a reply."""
        vms = self.members.elsewhere()[:_PROBE_CHOICE]
        for vm in self._random.sample(vms, min(_PROBE_FANOUT, len(vms))):
            self._send_hello(vm, wants_reply=True)

    def encode_hello(
        self, *, wants_reply: bool, loan: Loan | None = None
    ) -> bytes:
        """Encode a hello to another VM.

        :param loan: loan granted to the receiver.
        """
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
                list(self._known_members()),
                list(self.list_slow_servers()),
                at_ms if self.loans.should_borrow(at_ms) else None,
                loan,
                self.limits.choose_reports(at_ms, self._random),
                self.outages.failed_age_ms(at_ms),
                self.outages.answered_age_ms(at_ms),
                self.leaving.choose_reports(
                    self._catalog.servers, self._random
                ),
            )
        )

    def receive(self, datagram: bytes) -> None:
        """Decode and handle a received datagram."""
        try:
            hello = decode_hello(datagram)
        except (msgspec.MsgspecError, ValueError) as error:
            self._log.event('hello_unreadable', fault=str(error))
            return
        if hello.protocol == PROTOCOL:
            self._handle_hello(hello)

    def receive_request_ends(self, datagram: bytes) -> None:
        """Handle what another VM knows of requests that end servers."""
        self._deadly_exchange.receive(datagram)

    def _handle_hello(self, hello: Hello) -> None:
        sender = Address(VmId(hello.vm))
        self._record_members(sender, hello)
        if hello.loan is not None:
            self.loans.accept(sender, hello.loan)
        loan = self._grant_loan(sender, hello)
        if hello.wants_reply or loan is not None:
            self._send_hello(sender, wants_reply=False, loan=loan)
        if hello.wants_reply:
            # It may have just started, or was cut off.
            self._deadly_exchange.send_to(sender)
        self.outages.note_news(
            _time_before_now(hello.store_failed_age_ms),
            _time_before_now(hello.store_answered_age_ms),
        )
        self._puller.pull_if_newer(sender, hello.as_of)
        self.apply_slow_reports(_slow_servers_of(hello))
        self.limits.apply_reports(hello.limits, now_ms())
        self.leaving.apply_reports(hello.leaving)

    def _record_members(self, sender: Address, hello: Hello) -> None:
        """Record the states of the sender and of the VMs that it knows."""
        at_ms = now_ms()
        has_store = hello.has_store and not hello.is_leaving
        is_new = self.members.record(
            sender, hello.data_centre, at_ms, has_store=has_store
        )
        for known in hello.known:
            self.members.record(
                Address(VmId(known.vm)),
                known.data_centre,
                at_ms - known.age_ms,
                has_store=known.has_store,
            )
        if is_new:
            self._log.event(
                'peer_found', peer=sender, members=len(self.members)
            )

    def _grant_loan(self, sender: Address, hello: Hello) -> Loan | None:
        if hello.asked_ms is None or self.is_leaving:
            return None
        return self.lend(sender, hello.asked_ms)

    def _send_hello(
        self, vm: Address, *, wants_reply: bool, loan: Loan | None = None
    ) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._send(
                self.encode_hello(wants_reply=wants_reply, loan=loan), vm
            )

    def _send(self, datagram: bytes, vm: Address) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, host_and_port(vm))

    def _known_members(self) -> Iterator[KnownMember]:
        at_ms = now_ms()
        for vm, member in self.members.choose_for_hello(at_ms, self._random):
            age_ms = max(0, int(at_ms - member.heard_ms))
            yield KnownMember(vm, member.data_centre, age_ms, member.has_store)

    async def _open(self, stack: AsyncExitStack) -> None:
        loop = asyncio.get_running_loop()
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda: cast(asyncio.DatagramProtocol, _Datagrams(self)),
            local_addr=host_and_port(self._own),
        )
        self._transport = transport
        stack.callback(transport.close)
        listener = PullListener(self._own, self._catalog, self._log)
        await stack.enter_async_context(listener)
        stack.callback(self._puller.cancel)
        stack.callback(start_supervised('gossip', self._run, self._log).cancel)

    async def _run(self) -> None:
        for _ in range(_STARTUP_ROUNDS):
            self._send_hellos(self._seeds, wants_reply=True)
            self._send_hellos(self._choose_alive(), wants_reply=True)
            await asyncio.sleep(_STARTUP_ROUND_S)
        while True:
            chosen = self._choose_alive()
            self._send_hellos(chosen, wants_reply=False)
            for vm in chosen[:1]:
                self._deadly_exchange.send_to(vm)
            if self._random.random() < _LOST_ROUND_FRACTION:
                self._send_hellos(self._choose_lost(), wants_reply=True)
            self.members.expire(now_ms())
            round_s = self._random.uniform(MIN_ROUND_S, MAX_ROUND_S)
            await asyncio.sleep(round_s)

    def _send_hellos(
        self, vms: Iterable[Address], *, wants_reply: bool
    ) -> None:
        for vm in vms:
            self._send_hello(vm, wants_reply=wants_reply)

    def _choose_alive(self) -> list[Address]:
        alive = self.members.alive(now_ms())
        return self._random.sample(alive, min(FANOUT, len(alive)))

    def _choose_lost(self) -> list[Address]:
        """Choose one known VM at random that is not alive, if any."""
        alive = frozenset(self.members.alive(now_ms()))
        known = {*self._seeds, *self.members.known()}
        lost = sorted(known - alive)
        return self._random.sample(lost, min(1, len(lost)))


def _slow_servers_of(hello: Hello) -> list[SlowServer]:
    return [(ServerId(name), ratio) for name, ratio in hello.slow]


def _time_before_now(age_ms: int | None) -> float | None:
    return None if age_ms is None else now_ms() - age_ms


def _refuse_loan(borrower: VmId, asked_ms: float) -> None:
    """Refuse a loan; used until :attr:`GossipNode.lend` is set."""


def _ignore_reports(reports: list[SlowServer]) -> None:
    """Ignore reports; used until a node's ``apply_slow_reports`` is set."""


@final
class _Datagrams(asyncio.DatagramProtocol):
    """Protocol that passes received datagrams to a node."""

    def __init__(self, node: GossipNode) -> None:
        self._node = node

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Pass a datagram to the node."""
        if data.startswith(PREFIX):
            sender = Address(VmId('{0}:{1}'.format(*addr)))
            self._node.permits.receive(data, sender)
        elif data.startswith(deadly_messages.PREFIX):
            self._node.receive_request_ends(data)
        else:
            self._node.receive(data)
