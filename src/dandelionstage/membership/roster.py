"""The published VMs and what is believed of each."""

from collections.abc import Mapping
from typing import Final, Protocol, final

from ..model.ids import DataCentreId, VmId
from ..model.topology import Presence, Vm
from .messages import MemberState
from .ranking import Ranking, VmLists
from .member_status import DEFAULT_STATUS, MemberStatus

__all__ = ('Placed', 'Roster', 'Vms')

#: Beliefs kept about VMs that the list no longer names.
_MAX_UNPUBLISHED: Final = 1000


class Placed(Protocol):
    """A published VM and where it stands."""

    @property
    def vm(self) -> Vm:
        """The VM as published."""

    @property
    def data_centre(self) -> DataCentreId:
        """The data centre it stands in."""


#: Every VM that may exist, live or leaving.
Vms = Mapping[VmId, Placed]


@final
class Roster:
    """Says who may exist (the published list) and who is thought alive.

    :ivar ranking: the VMs of each data centre, the most trusted first.
    """

    def __init__(self) -> None:
        """Know of no VM yet."""
        self.ranking = Ranking(self._order)
        self._published: Vms = {}
        self._lists: VmLists = {}
        self._standings: dict[VmId, MemberStatus] = {}

    def replace_published(self, vms: Vms) -> None:
        """Take the published list, keeping what is believed of its VMs."""
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
        self.ranking.use(self._lists)
        self._forget_unpublished()

    def published(self) -> VmLists:
        """List every published VM by data centre, sorted by name."""
        return self._lists

    def standing_of(self, vm: VmId) -> MemberStatus:
        """Say what is believed of a VM."""
        return self._standings.get(vm, DEFAULT_STATUS)

    def believe(self, vm: VmId, standing: MemberStatus) -> bool:
        """Take a belief if it is newer; say whether it was.

        A VM that the list does not name is not taken in.
        """
        placed = self._published.get(vm)
        before = self.standing_of(vm)
        if placed is None or not standing.supersedes(before):
            return False
        self._standings[vm] = standing
        if standing.state is not before.state:
            self.ranking.forget(placed.data_centre)
        return True

    def _order(self, vm: VmId) -> int:
        if self._published[vm].vm.presence is Presence.LEAVING:
            return MemberState.LEAVING.value
        return self.standing_of(vm).state.value

    def _forget_unpublished(self) -> None:
        gone = [vm for vm in self._standings if vm not in self._published]
        for vm in gone[: max(0, len(gone) - _MAX_UNPUBLISHED)]:
            self._standings.pop(vm)
