"""Distribution of a large query's shards over the VMs of a data centre.

Load pattern: queries over 60 to 135 shards on VMs with a third of a CPU core
and a link of a few Mbit/s.  Sending the requests and reading the replies of
all shards takes one such VM longer than the servers take to answer, while
other VMs of the data centre are idle.
"""

import math
from collections.abc import Collection, Iterator, Sequence
from itertools import pairwise
from typing import Final, TypeVar, final

from ..model.ids import VmId
from ..routing.rendezvous import rank_vms

__all__ = ('GroupVmSelector', 'is_split', 'split_into_groups')

#: Maximum number of shards that one VM queries when a query is split.  A group
#: costs the VM that received the query about as much as two sub-requests, so
#: many small groups cost more than they save.
_MAX_GROUP_SHARDS: Final = 15
#: Queries over fewer shards are not split: the round trip to another VM takes
#: longer than querying them all from one VM.
_MIN_SPLIT_SHARDS: Final = 40
#: Number of groups whose ranking is cached.
_MAX_CACHED_RANKINGS: Final = 256

_Item = TypeVar('_Item')


def is_split(shards: Collection[object]) -> bool:
    """Whether a query over the shards is split."""
    return len(shards) >= _MIN_SPLIT_SHARDS


def split_into_groups(shards: Sequence[_Item]) -> Iterator[Sequence[_Item]]:
    """Split the shards of a query into groups of nearly equal size."""
    count = len(shards)
    groups = 1
    if is_split(shards):
        groups = math.ceil(count / _MAX_GROUP_SHARDS)
    ends = [count * (number + 1) // groups for number in range(groups)]
    for start, end in pairwise((0, *ends)):
        yield shards[start:end]


@final
class GroupVmSelector:
    """Selects the VM that queries a group of shards.

    Every VM of a data centre ranks the candidates for a group in the same
    order, so the first one receives the group from all of them.  It therefore
    keeps its connections to the group's servers in use and has recent
    measurements of those servers.
    """

    def __init__(self) -> None:
        """Create a selector with an empty cache."""
        self._vms: tuple[VmId, ...] = ()
        self._rankings: dict[str, tuple[VmId, ...]] = {}

    def choose(
        self,
        group: str,
        vms: Sequence[VmId],
        assigned: Collection[VmId | None],
        avoided: Collection[VmId],
    ) -> VmId | None:
        """Return a VM for a group, preferring one without a group so far.

        :param group: name of the group, the same in every query.
        :param vms: candidates.
        :param assigned: VMs already assigned to other groups of the query.
        :param avoided: VMs that have failed recently and are not selected.
        """
        usable = [vm for vm in self._rank(group, vms) if vm not in avoided]
        for vm in usable:
            if vm not in assigned:
                return vm
        return usable[0] if usable else None

    def _rank(self, group: str, vms: Sequence[VmId]) -> tuple[VmId, ...]:
        candidates = tuple(vms)
        if (
            candidates != self._vms
            or len(self._rankings) > _MAX_CACHED_RANKINGS
        ):
            self._vms = candidates
            self._rankings.clear()
        ranking = self._rankings.get(group)
        if ranking is None:
            ranking = rank_vms(group, candidates)
            self._rankings[group] = ranking
        return ranking
