"""A server's slots are never exceeded while the VMs' lists differ."""

from dataclasses import dataclass
from random import Random

from hypothesis.stateful import invariant, rule
from tests.lease_fleet import SETTINGS, LeaseFleet, some_vm
from tests.owner_fakes import (
    DATA_CENTRE,
    LOST,
    FIRST_BACKEND,
    make_outcome,
    make_server,
    make_sub_request,
    make_topology,
    list_starts,
)

from dandelionstage.configuration.topology import Topology
from dandelionstage.model.ids import VmId
from dandelionstage.model.messages import LeaseGrant
from dandelionstage.owner.messages import OwnerCommand, StartAttempt
from dandelionstage.owner.owner import Owner

ATTEMPT_MS = 400


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt at the server, with its deadline by the VM's clock."""

    attempt: StartAttempt
    until_ms: float


class OwnerNode:
    """An owner that always has queued work."""

    def __init__(self, vm: VmId, slots: int) -> None:
        """Create the owner of a new process."""
        self.owner = Owner(vm, DATA_CENTRE, Random(vm))
        self.running: list[RunningAttempt] = []
        self.requests = self.owner.requests
        self.receive_request = self.owner.receive_request
        self._slots = slots

    def use_topology(self, topology: Topology, now_ms: float) -> None:
        """Apply newer documents."""
        self.run(self.owner.use_topology(topology, now_ms))

    def work(self, now_ms: float, *, busy: bool) -> None:
        """End expired attempts and offer new work."""
        for each in tuple(self.running):
            if each.until_ms <= now_ms:
                self.running.remove(each)
                outcome = make_outcome(each.attempt, LOST, incarnation='')
                self.run(self.owner.finish(outcome, now_ms))
        self.run(self.owner.tick(now_ms))
        while busy and self.owner.pending() < 2 * self._slots:
            sub_request = make_sub_request(
                (FIRST_BACKEND,), remaining_ms=ATTEMPT_MS
            )
            self.run(self.owner.offer(sub_request, now_ms))

    def receive_grant(self, vm: VmId, grant: LeaseGrant, now_ms: float) -> None:
        """Apply a grant from another VM."""
        self.run(self.owner.receive_grant(vm, grant, now_ms))

    def finish_all(self, now_ms: float) -> None:
        """Let all running attempts succeed."""
        ended = tuple(self.running)
        self.running.clear()
        for each in ended:
            self.run(self.owner.finish(make_outcome(each.attempt), now_ms))

    def run(self, commands: tuple[OwnerCommand, ...]) -> None:
        """Record the attempts that the owner starts."""
        for attempt in list_starts(commands):
            self.running.append(RunningAttempt(attempt, attempt.deadline_ms))


class SharedServer(LeaseFleet[OwnerNode]):
    """VMs that share one backend server."""

    def new_sharer(self, vm: VmId) -> OwnerNode:
        """Create an owner."""
        return OwnerNode(vm, self.size)

    def documents(self) -> Topology:
        """Return the documents with the server."""
        return make_topology(make_server(FIRST_BACKEND, self.size))

    @rule(vm=some_vm)
    def finish(self, vm: VmId) -> None:
        """Let all attempts of a VM end."""
        for node in self.find(vm):
            if not node.paused:
                node.sharer.finish_all(self.now_ms + node.clock_offset_ms)

    @invariant()
    def is_under_the_limit(self) -> None:
        """The attempts that run at the server are within its slots."""
        running = [
            each
            for node in self.nodes.values()
            for each in node.sharer.running
            if each.until_ms > self.now_ms + node.clock_offset_ms
        ]
        assert len(running) <= self.size


SharedServer.TestCase.settings = SETTINGS
test_slots_are_never_exceeded = SharedServer.TestCase
