"""Distribution of large queries over this VM and its relays."""

from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from typing import final

from ..catalog.routes import ServiceId
from ..gateway.relays import RelayAssignments
from ..lifecycle.resource_owner import ResourceOwner
from ..model.ids import VmId
from ..placing.shard_groups import GroupVmSelector, split_into_groups
from .relay_vm import RelayContext, RelayVm

__all__ = ('RelayPool',)


@final
class RelayPool(  # noqa: WPS214 -- many short methods on one table
    ResourceOwner,
):
    """Distributes queries over the VMs of this data centre."""

    def __init__(
        self,
        own: VmId,
        list_vms: Callable[[], Sequence[VmId]],
        address_of: Callable[[VmId], tuple[str, int]],
        context: RelayContext,
    ) -> None:
        """Create a pool without connections.

        :param own: this VM.
        :param list_vms: lists the other VMs of this data centre that may be
            alive.
        :param address_of: returns the address of a VM's relay listener.
        :param context: dependencies that all relays share.
        """
        self._own = own
        self._list_vms = list_vms
        self._address_of = address_of
        self._context = context
        self._selector = GroupVmSelector()
        self._relays: dict[VmId, RelayVm] = {}

    def assign_shards(self, shards: Sequence[ServiceId]) -> RelayAssignments:
        """Choose which shards other VMs query; this VM queries the rest."""
        groups = tuple(split_into_groups(shards))
        if len(groups) == 1:
            return ()
        chosen = self._choose_vms([group[0] for group in groups])
        return [
            (self._get_relay(vm), group)
            for vm, group in zip(chosen, groups, strict=True)
            if vm is not None and vm != self._own
        ]

    async def _open(self, stack: AsyncExitStack) -> None:
        stack.callback(self._close_all)

    def _choose_vms(self, groups: Sequence[str]) -> list[VmId | None]:
        """Choose a VM for each group; this VM is a candidate too."""
        others = sorted(self._list_vms())
        self._close_missing(others)
        avoided = self._list_avoided()
        chosen: list[VmId | None] = []
        for group in groups:
            vms = (*others, self._own)
            chosen.append(self._selector.choose(group, vms, chosen, avoided))
        return chosen

    def _list_avoided(self) -> set[VmId]:
        now_ms = self._context.now_ms()
        return {
            vm
            for vm, relay in self._relays.items()
            if now_ms < relay.avoided_until_ms
        }

    def _close_all(self) -> None:
        for relay in self._relays.values():
            relay.close()

    def _get_relay(self, vm: VmId) -> RelayVm:
        relay = self._relays.get(vm)
        if relay is None:
            relay = RelayVm(vm, self._address_of(vm), self._context)
            self._relays[vm] = relay
        return relay

    def _close_missing(self, present: Sequence[VmId]) -> None:
        """Close connections to VMs that are not among the present ones."""
        for vm in self._relays.keys() - set(present):
            self._relays.pop(vm).close()
