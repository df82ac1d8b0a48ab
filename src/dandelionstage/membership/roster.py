"""The published VMs and the status of each."""

from collections.abc import Mapping
from typing import Final, Protocol, final

from ..model.ids import DataCentreId, VmId
from ..model.topology import Presence, Vm
from .member_status import DEFAULT_STATUS, MemberStatus
from .messages import MemberState
from .ranking import Ranking, VmLists

__all__ = ('PublishedVm', 'PublishedVms', 'Roster')

#: Maximum number of statuses kept for VMs that are no longer published.
_MAX_UNPUBLISHED: Final = 1000


class PublishedVm(Protocol):
    """A published VM and its data centre."""

    @property
    def vm(self) -> Vm:
        """The VM as published."""

    @property
    def data_centre(self) -> DataCentreId:
        """The data centre of the VM."""


#: All published VMs, live or leaving, by name.
PublishedVms = Mapping[VmId, PublishedVm]


@final
class Roster:
    """Holds the published VMs and the status of each.

    :ivar ranking: the VMs of each data centre, live ones first.
    """

    def __init__(self) -> None:
        """Start without VMs."""
        self.ranking = Ranking(self._order)
        self._published: PublishedVms = {}
        self._lists: VmLists = {}
        self._statuses: dict[VmId, MemberStatus] = {}

    def replace_published(self, vms: PublishedVms) -> None:
        """Replace the published VMs; their statuses are kept."""
        if vms is self._published:
            return
        lists: dict[DataCentreId, list[VmId]] = {}
        for vm in sorted(vms):
            lists.setdefault(vms[vm].data_centre, []).append(vm)
        self._published = vms
        self._lists = {
            data_centre: tuple(members)
            for data_centre, members in lists.items()
        }
        self.ranking.replace_published(self._lists)
        self._drop_old_unpublished()

    def published(self) -> VmLists:
        """Return all published VMs by data centre, sorted by name."""
        return self._lists

    def status_of(self, vm: VmId) -> MemberStatus:
        """Return the status of a VM."""
        return self._statuses.get(vm, DEFAULT_STATUS)

    def update(self, vm: VmId, status: MemberStatus) -> bool:
        """Update the status of a VM; return whether the new one is newer.

        The status of an unpublished VM is ignored.
        """
        placed = self._published.get(vm)
        before = self.status_of(vm)
        if placed is None or not status.supersedes(before):
            return False
        self._statuses[vm] = status
        if status.state is not before.state:
            self.ranking.invalidate(placed.data_centre)
        return True

    def _order(self, vm: VmId) -> int:
        if self._published[vm].vm.presence is Presence.LEAVING:
            return MemberState.LEAVING.value
        return self.status_of(vm).state.value

    def _drop_old_unpublished(self) -> None:
        unpublished = [vm for vm in self._statuses if vm not in self._published]
        for vm in unpublished[: max(0, len(unpublished) - _MAX_UNPUBLISHED)]:
            self._statuses.pop(vm)
