"""Divides large queries between this VM and those that relay for it."""

from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from typing import final

from ..catalog.routes import ServiceId
from ..gateway.relays import RelayAssignments
from ..lifecycle.owning import Owner
from ..model.ids import VmId
from ..placing.grouping import GroupRanking, divide
from .relay_vm import RelayVm, RelayTools

__all__ = ('RelayPool',)


@final
class RelayPool(Owner):  # noqa: WPS214 -- one table, short methods
    """Divides queries between the VMs of this data centre."""

    def __init__(
        self,
        own: VmId,
        list_vms: Callable[[], Sequence[VmId]],
        port_of: Callable[[VmId], tuple[str, int]],
        tools: RelayTools,
    ) -> None:
        """Start without a connection.

        :param list_vms: lists the other VMs that may be alive.
        :param port_of: tells where a VM takes what is to be relayed.
        """
        self._own = own
        self._list_vms = list_vms
        self._port_of = port_of
        self._tools = tools
        self._ranking = GroupRanking()
        self._vms: dict[VmId, RelayVm] = {}

    def divide(self, shards: Sequence[ServiceId]) -> RelayAssignments:
        """Choose which shards other VMs ask; the rest is for this VM."""
        groups = tuple(divide(shards))
        if len(groups) == 1:
            return ()
        chosen = self._choose([group[0] for group in groups])
        return [
            (self._relay(vm), group)
            for vm, group in zip(chosen, groups, strict=True)
            if vm is not None and vm != self._own
        ]

    async def _open(self, stack: AsyncExitStack) -> None:
        stack.callback(self._close_all)

    def _choose(self, groups: Sequence[str]) -> list[VmId | None]:
        """Choose a VM for each group, this one included."""
        others = sorted(self._list_vms())
        self._forget(others)
        avoided = self._list_avoided()
        chosen: list[VmId | None] = []
        for group in groups:
            vms = (*others, self._own)
            chosen.append(self._ranking.choose(group, vms, chosen, avoided))
        return chosen

    def _list_avoided(self) -> set[VmId]:
        now_ms = self._tools.now_ms()
        return {
            vm
            for vm, relay in self._vms.items()
            if now_ms < relay.avoided_until_ms
        }

    def _close_all(self) -> None:
        for relay in self._vms.values():
            relay.close()

    def _relay(self, vm: VmId) -> RelayVm:
        relay = self._vms.get(vm)
        if relay is None:
            relay = RelayVm(vm, self._port_of(vm), self._tools)
            self._vms[vm] = relay
        return relay

    def _forget(self, present: Sequence[VmId]) -> None:
        """Close connections to VMs that are not heard from."""
        for vm in self._vms.keys() - set(present):
            self._vms.pop(vm).close()
