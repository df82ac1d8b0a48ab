"""VMs that share limits by leases over a network that fails."""

from dataclasses import dataclass, replace
from typing import Generic, Protocol, TypeVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from tests.owner_fakes import DATA_CENTRE

from dandelionstage.configuration.topology import Topology
from dandelionstage.limits.lease_borrower import Addressed
from dandelionstage.model.ids import VmId
from dandelionstage.model.messages import LeaseGrant, LeaseRequest

VMS = tuple(map(VmId, 'abcdefg'))
LEARN_MS = 2000
#: Lists that differ by more than two VMs are further apart than this.
CHANGE_MS = 8000

SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)

some_vm = st.sampled_from(VMS)
some_vms = st.sets(some_vm, max_size=2)


class Sharer(Protocol):
    """The part of a VM that shares a limit; it has a clock of its own."""

    def use_topology(self, topology: Topology, now_ms: float) -> None:
        """Follow newer documents."""

    def work(self, now_ms: float, *, busy: bool) -> None:
        """Use all of the limit that may be used."""

    def requests(self, now_ms: float) -> tuple[Addressed, ...]:
        """Ask other VMs."""

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Answer another VM."""

    def receive_grant(self, vm: VmId, grant: LeaseGrant, now_ms: float) -> None:
        """Use what another VM lends."""


@dataclass(frozen=True, slots=True)
class Sent:
    """A message on its way."""

    sender: VmId
    to: VmId
    message: LeaseRequest | LeaseGrant


AnySharer = TypeVar('AnySharer', bound=Sharer)


@dataclass
class Node(Generic[AnySharer]):
    """One process."""

    vm: VmId
    sharer: AnySharer
    topology: Topology | None = None
    paused: bool = False
    busy: bool = True

    @property
    def ahead_ms(self) -> float:
        """Say how far its clock is ahead."""
        return ord(self.vm) * 1000

    def learn(self, topology: Topology, now_ms: float) -> None:
        """Take over newer documents."""
        if not self.paused and topology is not self.topology:
            self.topology = topology
            self.sharer.use_topology(topology, now_ms + self.ahead_ms)


class LeaseFleet(RuleBasedStateMachine, Generic[AnySharer]):
    """VMs that use all they can get, while lists, clocks and links fail."""

    def __init__(self) -> None:
        """Start without VMs."""
        super().__init__()
        self.now_ms: float = 0
        self.size = 1
        self.nodes: dict[VmId, Node[AnySharer]] = {}
        self.late: list[Sent] = []
        self.changes_ms: list[float] = []

    def new_sharer(self, vm: VmId) -> AnySharer:
        """Start a process."""
        raise NotImplementedError

    def documents(self) -> Topology:
        """Give the documents without the list of VMs."""
        raise NotImplementedError

    @initialize(size=st.integers(1, 4), listed=st.integers(2, 5))
    def start_all(self, size: int, listed: int) -> None:
        """Start with the same list everywhere."""
        self.size = size
        self.publish(set(VMS[:listed]), set())
        self.changes_ms.clear()
        for vm in VMS[:listed]:
            self.begin(vm)
        self.wait(1, set())

    @rule(elapsed_ms=st.sampled_from((1, 60, 300, 900)), cut=some_vms)
    def wait(self, elapsed_ms: float, cut: set[VmId]) -> None:
        """Let time pass; messages of the VMs cut off come late."""
        self.now_ms += elapsed_ms
        for node in self.awake():
            if self.changes_ms[-1:] <= [self.now_ms - LEARN_MS]:
                node.learn(self.topology, self.now_ms)
            clock_ms = self.now_ms + node.ahead_ms
            node.sharer.work(clock_ms, busy=node.busy)
        for node in self.awake():
            asked = node.sharer.requests(self.now_ms + node.ahead_ms)
            for to, request in asked:
                self.send(Sent(node.vm, to, request), cut)

    @rule(vm=some_vm)
    def learn(self, vm: VmId) -> None:
        """A VM hears of the newest list."""
        for node in self.find(vm):
            node.learn(self.topology, self.now_ms)

    @rule(which=st.integers(0, 9), again=st.booleans())
    def deliver_late(self, which: int, again: bool) -> None:
        """Deliver a late message, perhaps not for the last time."""
        if self.late:
            sent = self.late.pop(which % len(self.late))
            if again:
                self.late.append(sent)
            self.send(sent, set())

    @rule(vm=some_vm, busy=st.booleans(), paused=st.booleans())
    def change_node(self, vm: VmId, busy: bool, paused: bool) -> None:
        """Freeze or wake a process; give it work or none."""
        for node in self.find(vm):
            node.busy = busy
            node.paused = paused

    @rule(vm=some_vm)
    def replace_process(self, vm: VmId) -> None:
        """A process ends and starts again; its connections are closed."""
        if self.find(vm):
            self.begin(vm)

    @rule(vm=some_vm)
    def add(self, vm: VmId) -> None:
        """A VM is listed and starts."""
        if vm not in self.live and self.may_change():
            self.publish(self.live | {vm}, self.leaving - {vm})
            if not self.find(vm):
                self.begin(vm)

    @rule(vm=some_vm)
    def leave(self, vm: VmId) -> None:
        """A VM is listed as leaving and still runs."""
        others = self.live - {vm}
        if vm in self.live and others and self.may_change():
            self.publish(others, self.leaving | {vm})

    def find(self, vm: VmId) -> list[Node[AnySharer]]:
        """Return the process of a VM, if it runs."""
        return [node for node in self.nodes.values() if node.vm == vm]

    def awake(self) -> list[Node[AnySharer]]:
        """List the processes that are not paused."""
        return [node for node in self.nodes.values() if not node.paused]

    def begin(self, vm: VmId) -> None:
        """Start a process."""
        node = Node(vm, self.new_sharer(vm))
        node.learn(self.topology, self.now_ms)
        self.nodes[vm] = node

    def may_change(self) -> bool:
        """Say whether lists still differ by two VMs at most."""
        recent_ms = self.now_ms - CHANGE_MS
        return sum(each > recent_ms for each in self.changes_ms) < 2

    def publish(self, live: set[VmId], leaving: set[VmId]) -> None:
        """Publish a list; nodes learn of it later."""
        self.live = live
        self.leaving = leaving
        self.topology = replace(
            self.documents(),
            vm_lists={DATA_CENTRE: tuple(sorted(live))},
            leaving_vm_lists={DATA_CENTRE: tuple(sorted(leaving))},
        )
        self.changes_ms.append(self.now_ms)

    def send(self, sent: Sent, cut: set[VmId]) -> None:
        """Deliver a message, and what answers it, unless it is cut off."""
        node = self.nodes.get(sent.to)
        if node is None or node.paused or cut & {sent.to, sent.sender}:
            self.late.append(sent)
            return
        clock_ms = self.now_ms + node.ahead_ms
        if isinstance(sent.message, LeaseGrant):
            node.sharer.receive_grant(sent.sender, sent.message, clock_ms)
            return
        grant = node.sharer.receive_request(
            sent.sender,
            sent.message,
            clock_ms,
        )
        self.send(Sent(sent.to, sent.sender, grant), cut)
