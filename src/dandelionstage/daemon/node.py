"""Joins the parts of a daemon; each part knows only what it is given."""

from collections.abc import Callable
from random import SystemRandom
from typing import Final, final

from anyio.abc import TaskGroup

from ..configuration.store import DocumentStore
from ..entry.runner import ExecutionRunner
from ..inner.link import Link, LinkEnd, LinkHandlers
from ..inner.link_table import LinkTable
from ..inner.messages import CancelCall
from ..inner.peers import PeerLinks
from ..membership.members import Members
from ..membership.messages import Identity
from ..model.ids import Incarnation, VmId
from ..model.messages import SubReply, SubRequest
from ..operations.metrics import Metrics
from ..owner.owner import Owner
from ..settings.model import Settings
from .admitting import make_admission
from .aging import Aging
from .backend_pools import BackendPools
from .clock import monotonic_ms
from .sender import make_sender
from .dispatch import Dispatch
from .facts import Facts
from .identity import new_greeting
from .inbound import InboundCalls
from .lease_service import LeaseService
from .owner_service import OwnerService

__all__ = ('Node',)

#: Named as answering for a link that ended before its greeting came.
_UNKNOWN_VM: Final = VmId('')


@final
class Node:
    """The parts that every request passes, wired to each other.

    :ivar greeting: who this process is.
    :ivar facts: what it knows of the fleet.
    :ivar dispatch: takes further handlers of inner messages.
    :ivar links: open links, and how those before them ended.
    :ivar peers: its links; a context manager, entered by the daemon.
    :ivar admission: admits callers' requests by their contracts.
    :ivar accepts_new: false once a planned stop takes no new queue entries.
    """

    def __init__(self, settings: Settings, group: TaskGroup) -> None:
        """Wire the parts; nothing runs yet.

        :param group: runs attempts and keeps pools open.
        """
        self.greeting = new_greeting(settings)
        self.metrics = Metrics()
        self.random = SystemRandom()
        self.accepts_new: Callable[[], bool] = lambda: True
        self.dispatch = Dispatch()
        self.aging = Aging(self.dispatch.take, monotonic_ms)
        self.facts = self._know(settings)
        self.links = self._link_table()
        self.peers = PeerLinks(self.links, self.facts.address_of)
        self.owner = self._own(group)
        self.admission = make_admission(
            self.greeting,
            self.facts,
            self.random,
        )
        self._leases = LeaseService(
            self.owner,
            self.admission,
            monotonic_ms,
            self.peers.send,
        )
        self._leases.register(self.dispatch)
        self.owner.after_event = self._leases.ask
        self.runner = self._run()
        self._inbound = InboundCalls(
            settings.vm,
            self.owner,
            lambda: self.accepts_new(),
        )
        self.dispatch.register(SubRequest, self._inbound.take)
        self.dispatch.register(CancelCall, self._inbound.cancel)
        self.dispatch.register_loss(
            SubRequest,
            lambda link, request, sent: self.runner.handle_loss(
                link.peer or _UNKNOWN_VM,
                request,
                sent=sent,
            ),
        )
        self.dispatch.register(
            SubReply,
            lambda _, reply: self.runner.handle_reply(reply),
        )

    def incarnation_of(self, vm: VmId) -> Incarnation | None:
        """Give the highest incarnation heard of, ``None`` if unknown."""
        if vm == self.greeting.vm:
            return self.greeting.incarnation
        if self.facts.address_of(vm) is None:
            return None
        return self.facts.members.incarnation_of(vm)

    def _know(self, settings: Settings) -> Facts:
        store = DocumentStore()
        identity = Identity(
            vm=settings.vm,
            incarnation=self.greeting.incarnation,
            data_centre=settings.data_centre,
        )
        members = Members(identity, store.digest, self.random)
        return Facts(settings, store, members)

    def _link_table(self) -> LinkTable:
        handlers = LinkHandlers(
            self.aging.take,
            self.dispatch.lose,
            self._end,
        )
        return LinkTable(self.greeting, handlers, monotonic_ms)

    def _own(self, group: TaskGroup) -> OwnerService:
        greeting = self.greeting
        owner = Owner(greeting.vm, greeting.data_centre, self.random)
        pools = BackendPools(group, self.facts.topology)
        service = OwnerService(owner, pools, group, monotonic_ms)
        service.observe = self.metrics.observe
        self.facts.follow(
            lambda topology: service.carry_out(
                owner.use_topology(topology, monotonic_ms()),
            ),
        )
        return service

    def _run(self) -> ExecutionRunner:
        sender = make_sender(
            self.greeting.vm,
            self.peers.send,
            self.owner,
            lambda reply: self.runner.handle_reply(reply),
        )
        runner = ExecutionRunner(sender, monotonic_ms)
        runner.observe = self.metrics.observe
        return runner

    def _end(self, link: Link, end: LinkEnd) -> None:
        self._inbound.drop(link)
