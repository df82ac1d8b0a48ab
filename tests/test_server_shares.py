"""Slots of a server stay under its limit whatever each VM believes."""

from dataclasses import dataclass, replace
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from tests.owner_fakes import (
    HERE,
    LOST,
    ONE,
    end,
    make_server,
    make_sub_request,
    make_topology,
    starts,
)

from dandelionstage.configuration.topology import Topology
from dandelionstage.model.ids import VmId
from dandelionstage.model.messages import LeaseGrant, LeaseRequest
from dandelionstage.owner.messages import OwnerCommand, StartAttempt
from dandelionstage.owner.owner import Owner

VMS = tuple(map(VmId, 'abcdefg'))
ATTEMPT_MS = 400
LEARN_MS = 2000
#: Lists that differ by more than two VMs are further apart than this.
CHANGE_MS = 8000

some_vm = st.sampled_from(VMS)
some_vms = st.sets(some_vm, max_size=2)


@dataclass(frozen=True, slots=True)
class Sent:
    """A message on its way."""

    sender: VmId
    to: VmId
    message: LeaseRequest | LeaseGrant


@dataclass(frozen=True, slots=True)
class Running:
    """An attempt at the server; its deadline is in the server's time."""

    attempt: StartAttempt
    until_ms: float


class Node:
    """One VM with a clock of its own, and what it runs at the server."""

    def __init__(self, vm: VmId) -> None:
        """Start a process."""
        self.vm = vm
        self.ahead_ms = ord(vm) * 1000
        self.owner = Owner(vm, HERE, Random(vm))
        self.topology: Topology | None = None
        self.paused = False
        self.busy = True
        self.running: list[Running] = []

    def learn(self, topology: Topology, now_ms: float) -> None:
        """Take over newer documents."""
        if not self.paused and topology is not self.topology:
            self.topology = topology
            self.run(
                self.owner.use_topology(topology, now_ms + self.ahead_ms),
            )

    def work(self, slots: int, now_ms: float) -> None:
        """End what is past its deadline and bring new work."""
        clock_ms = now_ms + self.ahead_ms
        for each in tuple(self.running):
            if each.until_ms <= now_ms:
                self.running.remove(each)
                outcome = end(each.attempt, LOST, incarnation='')
                self.run(self.owner.finish(outcome, clock_ms))
        self.run(self.owner.tick(clock_ms))
        while self.busy and self.owner.pending() < 2 * slots:
            sub_request = make_sub_request((ONE,), remaining_ms=ATTEMPT_MS)
            self.run(self.owner.offer(sub_request, clock_ms))

    def run(self, commands: tuple[OwnerCommand, ...]) -> None:
        """Let the server run what is started."""
        for attempt in starts(commands):
            until_ms = attempt.deadline_ms - self.ahead_ms
            self.running.append(Running(attempt, until_ms))


class SharedServer(RuleBasedStateMachine):
    """VMs with all the work they can get share one server."""

    @initialize(slots=st.integers(1, 4), listed=st.integers(2, 5))
    def start_all(self, slots: int, listed: int) -> None:
        """Start with the same list everywhere."""
        self.now_ms: float = 0
        self.server = make_server(ONE, slots)
        self.late: list[Sent] = []
        self.changes_ms: list[float] = []
        self.publish(set(VMS[:listed]), set())
        self.changes_ms.clear()
        self.nodes = {vm: Node(vm) for vm in VMS[:listed]}
        self.wait(1, set())

    @rule(passed_ms=st.sampled_from((1, 60, 300, 900)), cut=some_vms)
    def wait(self, passed_ms: float, cut: set[VmId]) -> None:
        """Let time pass; messages of the VMs cut off come late."""
        self.now_ms += passed_ms
        for node in self.awake():
            if self.changes_ms[-1:] <= [self.now_ms - LEARN_MS]:
                node.learn(self.topology, self.now_ms)
            node.work(self.server.slots, self.now_ms)
        for node in self.awake():
            asked = node.owner.requests(self.now_ms + node.ahead_ms)
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
    def finish(self, vm: VmId) -> None:
        """All that a VM runs ends."""
        for node in self.awake():
            if node.vm == vm:
                self.finish_all(node)

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

    @invariant()
    def is_under_the_limit(self) -> None:
        """Count what runs at the server."""
        running = [
            each
            for node in getattr(self, 'nodes', {}).values()
            for each in node.running
            if each.until_ms > self.now_ms
        ]
        assert not running or len(running) <= self.server.slots

    def find(self, vm: VmId) -> list[Node]:
        """Return the process of a VM, if it runs."""
        return [node for node in self.nodes.values() if node.vm == vm]

    def begin(self, vm: VmId) -> None:
        """Start a process."""
        node = Node(vm)
        node.learn(self.topology, self.now_ms)
        self.nodes[vm] = node

    def awake(self) -> list[Node]:
        """List the processes that are not paused."""
        return [node for node in self.nodes.values() if not node.paused]

    def may_change(self) -> bool:
        """Say whether lists still differ by two VMs at most."""
        recent_ms = self.now_ms - CHANGE_MS
        return sum(each > recent_ms for each in self.changes_ms) < 2

    def publish(self, live: set[VmId], leaving: set[VmId]) -> None:
        """Publish a list; nodes learn of it later."""
        self.live = live
        self.leaving = leaving
        self.topology = replace(
            make_topology(self.server),
            vm_lists={HERE: tuple(sorted(live))},
            leaving_vm_lists={HERE: tuple(sorted(leaving))},
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
            grant = sent.message
            node.run(node.owner.receive_grant(sent.sender, grant, clock_ms))
            return
        grant = node.owner.receive_request(sent.sender, sent.message, clock_ms)
        self.send(Sent(sent.to, sent.sender, grant), cut)

    def finish_all(self, node: Node) -> None:
        """End all attempts of a node."""
        ended = tuple(node.running)
        node.running.clear()
        for each in ended:
            outcome = end(each.attempt)
            clock_ms = self.now_ms + node.ahead_ms
            node.run(node.owner.finish(outcome, clock_ms))


SharedServer.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
test_slots_are_never_exceeded = SharedServer.TestCase
