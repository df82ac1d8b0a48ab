"""State machine of VMs that share limits by leases over a faulty network."""

from dataclasses import dataclass, replace
from typing import Generic, Protocol, TypeVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from tests.owner_fakes import DATA_CENTRE

from dandelionstage.configuration.topology import Topology
from dandelionstage.limits.lease_borrower import AddressedRequest
from dandelionstage.model.ids import VmId
from dandelionstage.model.messages import LeaseGrant, LeaseRequest

VMS = tuple(map(VmId, 'abcdefg'))
#: Time in which a published list reaches every running VM.
PROPAGATION_MS = 2000
#: At most two lists are published within this time, so that the lists of VMs
#: differ by at most two VMs.
CHANGE_WINDOW_MS = 8000

SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)

some_vm = st.sampled_from(VMS)
some_vms = st.sets(some_vm, max_size=2)


class LimitSharer(Protocol):
    """The part of a VM that shares limits; it has its own clock."""

    def use_topology(self, topology: Topology, now_ms: float) -> None:
        """Apply newer documents."""

    def work(self, now_ms: float, *, busy: bool) -> None:
        """Use as much of the limit as is allowed."""

    def requests(self, now_ms: float) -> tuple[AddressedRequest, ...]:
        """Return the lease requests to other VMs."""

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Answer a request of another VM."""

    def receive_grant(self, vm: VmId, grant: LeaseGrant, now_ms: float) -> None:
        """Apply a grant from another VM."""


@dataclass(frozen=True, slots=True)
class Message:
    """A message between two VMs."""

    sender: VmId
    to: VmId
    body: LeaseRequest | LeaseGrant


LimitSharerT = TypeVar('LimitSharerT', bound=LimitSharer)


@dataclass
class Node(Generic[LimitSharerT]):
    """The process of one VM."""

    vm: VmId
    sharer: LimitSharerT
    topology: Topology | None = None
    paused: bool = False
    busy: bool = True

    @property
    def clock_offset_ms(self) -> float:
        """How far the clock of the VM is ahead, in ms."""
        return ord(self.vm) * 1000

    def learn(self, topology: Topology, now_ms: float) -> None:
        """Apply newer documents unless the process is paused."""
        if not self.paused and topology is not self.topology:
            self.topology = topology
            self.sharer.use_topology(topology, now_ms + self.clock_offset_ms)


class LeaseFleet(RuleBasedStateMachine, Generic[LimitSharerT]):
    """VMs that use all of a limit they can get under faults.

    Lists, clocks and messages of the VMs differ, come late or get lost.

    :ivar size: size of the shared limit; a subclass defines its unit.
    :ivar undelivered: messages that were lost or may still come late.
    :ivar published_ms: times at which lists of VMs were published.
    """

    def __init__(self) -> None:
        """Create a fleet without VMs."""
        super().__init__()
        self.now_ms: float = 0
        self.size = 1
        self.nodes: dict[VmId, Node[LimitSharerT]] = {}
        self.undelivered: list[Message] = []
        self.published_ms: list[float] = []

    def new_sharer(self, vm: VmId) -> LimitSharerT:
        """Create the limit sharer of a new process."""
        raise NotImplementedError

    def documents(self) -> Topology:
        """Return the published documents without the list of VMs."""
        raise NotImplementedError

    @initialize(size=st.integers(1, 4), listed=st.integers(2, 5))
    def start_all(self, size: int, listed: int) -> None:
        """Start VMs that all follow the same list."""
        self.size = size
        self.publish(set(VMS[:listed]), set())
        self.published_ms.clear()
        for vm in VMS[:listed]:
            self.start_process(vm)
        self.wait(1, set())

    @rule(elapsed_ms=st.sampled_from((1, 60, 300, 900)), cut=some_vms)
    def wait(self, elapsed_ms: float, cut: set[VmId]) -> None:
        """Advance the time; messages of the VMs cut off are not delivered."""
        self.now_ms += elapsed_ms
        for node in self.active_nodes():
            if self.published_ms[-1:] <= [self.now_ms - PROPAGATION_MS]:
                node.learn(self.topology, self.now_ms)
            clock_ms = self.now_ms + node.clock_offset_ms
            node.sharer.work(clock_ms, busy=node.busy)
        for node in self.active_nodes():
            asked = node.sharer.requests(self.now_ms + node.clock_offset_ms)
            for to, request in asked:
                self.send(Message(node.vm, to, request), cut)

    @rule(vm=some_vm)
    def learn(self, vm: VmId) -> None:
        """Let a VM receive the newest list."""
        for node in self.find(vm):
            node.learn(self.topology, self.now_ms)

    @rule(which=st.integers(0, 9), again=st.booleans())
    def deliver_late(self, which: int, again: bool) -> None:
        """Deliver an undelivered message, which may be duplicated."""
        if self.undelivered:
            message = self.undelivered.pop(which % len(self.undelivered))
            if again:
                self.undelivered.append(message)
            self.send(message, set())

    @rule(vm=some_vm, busy=st.booleans(), paused=st.booleans())
    def change_node(self, vm: VmId, busy: bool, paused: bool) -> None:
        """Pause or resume a process, and change whether it has work."""
        for node in self.find(vm):
            node.busy = busy
            node.paused = paused

    @rule(vm=some_vm)
    def replace_process(self, vm: VmId) -> None:
        """Restart a process: it loses its state and its connections close."""
        if self.find(vm):
            self.start_process(vm)

    @rule(vm=some_vm)
    def add(self, vm: VmId) -> None:
        """List a VM as live and start its process."""
        if vm not in self.live and self.may_publish():
            self.publish(self.live | {vm}, self.leaving - {vm})
            if not self.find(vm):
                self.start_process(vm)

    @rule(vm=some_vm)
    def leave(self, vm: VmId) -> None:
        """List a VM as leaving while its process still runs."""
        others = self.live - {vm}
        if vm in self.live and others and self.may_publish():
            self.publish(others, self.leaving | {vm})

    def find(self, vm: VmId) -> list[Node[LimitSharerT]]:
        """Return the node of a VM, if its process runs."""
        return [node for node in self.nodes.values() if node.vm == vm]

    def active_nodes(self) -> list[Node[LimitSharerT]]:
        """List the nodes that are not paused."""
        return [node for node in self.nodes.values() if not node.paused]

    def start_process(self, vm: VmId) -> None:
        """Start the process of a VM with the newest list."""
        node = Node(vm, self.new_sharer(vm))
        node.learn(self.topology, self.now_ms)
        self.nodes[vm] = node

    def may_publish(self) -> bool:
        """Whether another list keeps the difference within two VMs."""
        window_start_ms = self.now_ms - CHANGE_WINDOW_MS
        return (
            sum(time_ms > window_start_ms for time_ms in self.published_ms) < 2
        )

    def publish(self, live: set[VmId], leaving: set[VmId]) -> None:
        """Publish a list of VMs, which the nodes receive later."""
        self.live = live
        self.leaving = leaving
        self.topology = replace(
            self.documents(),
            vm_lists={DATA_CENTRE: tuple(sorted(live))},
            leaving_vm_lists={DATA_CENTRE: tuple(sorted(leaving))},
        )
        self.published_ms.append(self.now_ms)

    def send(self, message: Message, cut: set[VmId]) -> None:
        """Deliver a message and its answer, or keep it as undelivered."""
        node = self.nodes.get(message.to)
        if node is None or node.paused or cut & {message.to, message.sender}:
            self.undelivered.append(message)
            return
        clock_ms = self.now_ms + node.clock_offset_ms
        if isinstance(message.body, LeaseGrant):
            node.sharer.receive_grant(message.sender, message.body, clock_ms)
            return
        grant = node.sharer.receive_request(
            message.sender,
            message.body,
            clock_ms,
        )
        self.send(Message(message.to, message.sender, grant), cut)
