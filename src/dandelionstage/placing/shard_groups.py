"""Which VM asks which shards of a query over many.

Load pattern: queries over 60 to 135 shards on VMs with a third of a core and
a link of some Mbit/s.  To send the requests and read the replies of all shards
takes one such VM longer than the servers take to answer, while other VMs of
the data centre are idle.
"""

import math
from collections.abc import Collection, Iterator, Sequence
from itertools import pairwise
from typing import Final, TypeVar, final

from ..model.ids import VmId
from ..routing.rendezvous import rank_vms

__all__ = ('GroupVmSelector', 'split_into_groups')

#: Shards that one VM asks.  A group costs the entry about as much as two
#: sub-requests, so many small groups cost more than they save.
_GROUP_SHARDS: Final = 15
#: Queries over fewer shards are asked by one VM: the way to another VM and
#: back takes longer than they do.
_LEAST_SHARDS: Final = 40
#: Groups whose ranking is kept.
_MOST_RANKINGS: Final = 256

_Item = TypeVar('_Item')


def split_into_groups(shards: Sequence[_Item]) -> Iterator[Sequence[_Item]]:
    """Cut the shards of a query into groups of about the same size."""
    count = len(shards)
    groups = 1
    if count >= _LEAST_SHARDS:
        groups = math.ceil(count / _GROUP_SHARDS)
    ends = [count * (number + 1) // groups for number in range(groups)]
    for start, end in pairwise((0, *ends)):
        yield shards[start:end]


@final
class GroupVmSelector:
    """Chooses the VM for each group, the same from everywhere.

    A VM that is chosen for a group by all others of its data centre keeps
    connections to the group's servers in use and knows how they do.
    """

    def __init__(self) -> None:
        """Start with nothing ranked."""
        self._vms: tuple[VmId, ...] = ()
        self._rankings: dict[str, tuple[VmId, ...]] = {}

    def choose(
        self,
        group: str,
        vms: Sequence[VmId],
        taken: Collection[VmId | None],
        avoided: Collection[VmId],
    ) -> VmId | None:
        """Choose a VM, one that has no group of this query if there is any.

        :param group: a name that the group has in every query.
        :param taken: VMs that were chosen for other groups.
        :param avoided: VMs that have just failed.
        """
        usable = [vm for vm in self._rank(group, vms) if vm not in avoided]
        for vm in usable:
            if vm not in taken:
                return vm
        return usable[0] if usable else None

    def _rank(self, group: str, vms: Sequence[VmId]) -> tuple[VmId, ...]:
        present = tuple(vms)
        if present != self._vms or len(self._rankings) > _MOST_RANKINGS:
            self._vms = present
            self._rankings.clear()
        ranking = self._rankings.get(group)
        if ranking is None:
            ranking = rank_vms(group, present)
            self._rankings[group] = ranking
        return ranking
