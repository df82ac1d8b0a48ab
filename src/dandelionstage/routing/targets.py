"""Targets of a sub-request: the owners of a shard and their replicas."""

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

#: Returns the VMs of a data centre that may get new work.
LiveVms = Callable[[DataCentreId], tuple[VmId, ...]]

_ReplicaGroups = list[tuple[DataCentreId, tuple[BackendId, ...]]]

#: Number of owners ranked in each data centre; only these hold slots of its
#: servers.
_OWNERS_PER_DATA_CENTRE: Final = 3


@final
@dataclass(frozen=True, slots=True)
class Target:
    """One possible target of a sub-request.

    :ivar vm: the VM that is ranked as an owner.
    :ivar owner_key: the shard and data centre for which it is ranked.
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
        """Create a router for the entries of one data centre.

        :param live: returns the VMs of a data centre that are alive and not
            leaving.
        :param data_centre_order: the other data centres, nearest first; those
            not listed rank last.
        """
        self._topology = topology
        self._live = live
        self._data_centre_order = tuple(
            dict.fromkeys((data_centre, *data_centre_order))
        )
        self._ranking = OwnerRanking(_OWNERS_PER_DATA_CENTRE)

    def use_topology(self, topology: Topology) -> None:
        """Apply newly published documents."""
        self._topology = topology

    def targets(
        self,
        workload: WorkloadId,
        shard: ShardId,
        replicas: Sequence[BackendId],
        avoid: Collection[BackendId] = (),
    ) -> tuple[Target, ...]:
        """List the targets for a shard, the best first.

        The first owners of all data centres rank before any second owner,
        because a second owner holds only a reserve of a server's slots.
        Replicas that are not published, or published as leaving, are
        excluded; if no other replica remains, the list is empty.

        :param replicas: backend servers that hold the shard.
        :param avoid: backend servers to exclude, such as those already tried.
        """
        by_rank = zip_longest(
            *(
                self._list_targets(
                    OwnerKey(workload, shard, data_centre),
                    group,
                )
                for data_centre, group in self._group_by_data_centre(
                    replicas, avoid
                )
            ),
        )
        return tuple(
            target for rank in by_rank for target in rank if target is not None
        )

    def _group_by_data_centre(
        self,
        replicas: Sequence[BackendId],
        avoid: Collection[BackendId],
    ) -> _ReplicaGroups:
        groups: dict[DataCentreId, list[BackendId]] = {}
        for backend in replicas:
            placed = self._topology.backends.get(backend)
            if placed is None or backend in avoid:
                continue
            if placed.server.presence is Presence.LIVE:
                groups.setdefault(placed.data_centre, []).append(backend)
        return [
            (data_centre, tuple(groups[data_centre]))
            for data_centre in sorted(groups, key=self._distance)
        ]

    def _list_targets(
        self,
        owner_key: OwnerKey,
        replicas: tuple[BackendId, ...],
    ) -> Iterator[Target]:
        data_centre = owner_key.data_centre
        # If all VMs are suspected, the published list is more reliable.
        vms = self._live(data_centre) or self._topology.vm_lists.get(
            data_centre,
            (),
        )
        for vm in self._ranking.first_owners(owner_key, vms):
            yield Target(vm, owner_key, replicas)

    def _distance(self, data_centre: DataCentreId) -> tuple[int, DataCentreId]:
        if data_centre in self._data_centre_order:
            return self._data_centre_order.index(data_centre), data_centre
        return len(self._data_centre_order), data_centre
