"""A fleet of membership decisions on a virtual network."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from dandelionstage.membership.members import Members
from dandelionstage.membership.messages import Identity, SendProbe
from dandelionstage.model.ids import (
    DataCentreId,
    Incarnation,
    Revision,
    VmId,
)
from dandelionstage.model.messages import Digest
from dandelionstage.model.topology import Vm
from tools.virtual_network import VirtualNetwork

_TICK_MS = 50


@dataclass(frozen=True)
class PlacedVm:
    """A published VM, as the topology has it."""

    vm: Vm
    data_centre: DataCentreId


def publish(sizes: Mapping[str, int]) -> dict[VmId, PlacedVm]:
    """Make a published list of so many VMs in each data centre."""
    placed = {}
    for data_centre, size in sizes.items():
        for number in range(size):
            vm = VmId('{0}-{1}'.format(data_centre, number))
            listed = Vm(vm=vm, host='127.0.0.1', inner_port=7000)
            placed[vm] = PlacedVm(listed, DataCentreId(data_centre))
    return placed


class MemberFleet:
    """Starts, stops and freezes members, and carries their probes."""

    def __init__(self, sizes: Mapping[str, int], seed: int = 0) -> None:
        self.network = VirtualNetwork(seed)
        self.published = publish(sizes)
        self.members: dict[VmId, Members] = {}
        self.frozen: set[VmId] = set()
        self.sent = 0
        for vm in self.published:
            self.start(vm, 1)

    def start(self, vm: VmId, incarnation: int) -> None:
        """Start a VM, in place of its earlier process."""
        member = Members(
            Identity(
                vm,
                Incarnation(incarnation),
                self.published[vm].data_centre,
            ),
            lambda: Digest(0, Revision(0)),
            random.Random(self.network.random.random()),
        )
        member.publish(self.published)
        self.members[vm] = member
        self._tick(vm, member)

    def stop(self, vm: VmId) -> None:
        """Kill a VM."""
        self.members.pop(vm)

    def names_in(self, data_centre: str) -> frozenset[VmId]:
        """List the VMs of one data centre."""
        return frozenset(
            vm for vm in self.published if vm.startswith(data_centre)
        )

    def members_in(self, data_centre: str) -> list[Members]:
        """List the running members of one data centre."""
        names = self.names_in(data_centre)
        return [member for vm, member in self.members.items() if vm in names]

    def others(self, vm: VmId) -> list[Members]:
        """List the running members but one."""
        return [member for other, member in self.members.items() if other != vm]

    def _tick(self, vm: VmId, member: Members) -> None:
        if self.members.get(vm) is not member:
            return
        if vm not in self.frozen:
            self._send(vm, member.tick(self.network.now_ms))
        self.network.after(_TICK_MS, partial(self._tick, vm, member))

    def _send(self, source: VmId, sends: tuple[SendProbe, ...]) -> None:
        for send in sends:
            self.sent += 1
            deliver = partial(self._deliver, send)
            self.network.carry(source, send.vm, deliver)

    def _deliver(self, send: SendProbe) -> None:
        member = self.members.get(send.vm)
        if member is None:
            return
        if send.vm in self.frozen:
            self.network.after(_TICK_MS, partial(self._deliver, send))
            return
        answers = member.receive(send.probe, self.network.now_ms)
        self._send(send.vm, answers)
