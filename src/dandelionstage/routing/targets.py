"""Where an entry sends a sub-request: which owner, which replicas."""

from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass
from itertools import zip_longest
from typing import Final, final

from ..configuration.topology import Topology
from ..model.ids import BackendId, DataCentreId, ShardId, VmId, WorkloadId
from ..model.messages import OwnerKey
from ..model.topology import Presence
from .ownership import OwnerRanking

__all__ = ('LiveVms', 'Router', 'Target')

#: Tells the VMs of a data centre that new work may go to.
LiveVms = Callable[[DataCentreId], tuple[VmId, ...]]

_Placed = list[tuple[DataCentreId, tuple[BackendId, ...]]]

#: Owners tried in each data centre; only these hold slots of its servers.
_OWNERS_TRIED: Final = 3


@final
@dataclass(frozen=True, slots=True)
class Target:
    """One place to send a sub-request to.

    :ivar vm: the VM taken for the owner.
    :ivar replicas: the shard's backend servers in the owner's data centre.
    """

    vm: VmId
    owner_key: OwnerKey
    replicas: tuple[BackendId, ...]


@final
class Router:
    """Ranks the owners of a shard over every data centre that holds it."""

    def __init__(
        self,
        topology: Topology,
        live: LiveVms,
        data_centre: DataCentreId,
        data_centre_order: Sequence[DataCentreId],
    ) -> None:
        """Route from one data centre.

        :param live: VMs alive and not leaving, by data centre.
        :param data_centre_order: the others, nearest first; those left out
            come last.
        """
        self._topology = topology
        self._live = live
        self._nearness = tuple(dict.fromkeys((data_centre, *data_centre_order)))
        self._ranking = OwnerRanking(_OWNERS_TRIED)

    def use_topology(self, topology: Topology) -> None:
        """Route by newer documents from now on."""
        self._topology = topology

    def targets(
        self,
        workload: WorkloadId,
        shard: ShardId,
        replicas: Sequence[BackendId],
        avoid: Collection[BackendId] = (),
    ) -> tuple[Target, ...]:
        """List the targets for a shard, best first.

        The first owners of all data centres come before any second owner,
        because a second owner holds only a reserve of a server's slots.
        Replicas that are not published, or published as leaving, are left
        out; without any other the list is empty.

        :param replicas: the backend servers that hold the shard.
        :param avoid: those already tried.
        """
        by_rank = zip_longest(
            *(
                self._in_data_centre(
                    OwnerKey(workload, shard, data_centre),
                    placed,
                )
                for data_centre, placed in self._place(replicas, avoid)
            ),
        )
        return tuple(
            target for rank in by_rank for target in rank if target is not None
        )

    def _place(
        self,
        replicas: Sequence[BackendId],
        avoid: Collection[BackendId],
    ) -> _Placed:
        placed: dict[DataCentreId, list[BackendId]] = {}
        for backend in replicas:
            found = self._topology.backends.get(backend)
            if found is None or backend in avoid:
                continue
            if found.server.presence is Presence.LIVE:
                placed.setdefault(found.data_centre, []).append(backend)
        return [
            (data_centre, tuple(placed[data_centre]))
            for data_centre in sorted(placed, key=self._distance)
        ]

    def _in_data_centre(
        self,
        owner_key: OwnerKey,
        replicas: tuple[BackendId, ...],
    ) -> Iterator[Target]:
        data_centre = owner_key.data_centre
        # With all suspected, the published list is the better guess.
        vms = self._live(data_centre) or self._topology.vm_lists.get(
            data_centre,
            (),
        )
        for vm in self._ranking.first_owners(owner_key, vms):
            yield Target(vm, owner_key, replicas)

    def _distance(self, data_centre: DataCentreId) -> tuple[int, DataCentreId]:
        if data_centre in self._nearness:
            return self._nearness.index(data_centre), data_centre
        return len(self._nearness), data_centre
