"""Maps each backend server to the owner keys of its shards."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import final

from ..configuration.topology import Topology
from ..model.ids import BackendId, DataCentreId, ShardId, WorkloadId
from ..model.messages import OwnerKey

__all__ = ('OwnerKeys', 'list_owner_keys')

#: Owner keys by backend server, its home key first.
OwnerKeys = Mapping[BackendId, tuple[OwnerKey, ...]]


@final
@dataclass(frozen=True, slots=True, order=True)
class _Placement:
    """A shard of a workload, sorted with those of newest snapshots first.

    :ivar superseded: whether the workload has a newer snapshot.
    """

    superseded: bool
    workload: WorkloadId
    shard: ShardId


_Placements = defaultdict[BackendId, set[_Placement]]
_Placed = tuple[_Placement, tuple[BackendId, ...]]


def list_owner_keys(topology: Topology, data_centre: DataCentreId) -> OwnerKeys:
    """List the owner keys of each backend server in a data centre.

    The home key of a server is the first key, in sort order, of the shards
    that it holds in a newest snapshot. The VMs ranked first for the home key
    hold the server's slots.
    """
    placements = _place_replicas(topology)
    return {
        backend: _list_keys(
            placements[backend] or {_default_placement(backend)}, data_centre
        )
        for backend, placed in topology.backends.items()
        if placed.data_centre == data_centre
    }


def _place_replicas(topology: Topology) -> _Placements:
    placements: _Placements = defaultdict(set)
    for placement, replicas in _list_placements(topology):
        for replica in replicas:
            placements[replica].add(placement)
    return placements


def _default_placement(backend: BackendId) -> _Placement:
    """Return a placement for a server that no snapshot names.

    Such a server needs one so that VMs are ranked for its slots.
    """
    return _Placement(True, WorkloadId(''), ShardId(backend))


def _list_placements(topology: Topology) -> Iterator[_Placed]:
    for workload in topology.workloads.values():
        for age, snapshot in enumerate(workload.snapshots):
            for shard, replicas in snapshot.shards.items():
                yield _Placement(age > 0, workload.workload, shard), replicas


def _list_keys(
    placements: Iterable[_Placement], data_centre: DataCentreId
) -> tuple[OwnerKey, ...]:
    keys = (
        OwnerKey(placement.workload, placement.shard, data_centre)
        for placement in sorted(placements)
    )
    return tuple(dict.fromkeys(keys))
