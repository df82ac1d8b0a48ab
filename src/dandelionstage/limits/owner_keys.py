"""Which owner keys each backend server belongs to."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import final

from ..configuration.topology import Topology
from ..model.ids import BackendId, DataCentreId, ShardId, WorkloadId
from ..model.messages import OwnerKey

__all__ = ('OwnerKeys', 'list_owner_keys')

#: The owner keys of each server, its home key first.
OwnerKeys = Mapping[BackendId, tuple[OwnerKey, ...]]


@final
@dataclass(frozen=True, slots=True, order=True)
class _Placement:
    """One shard's place in a snapshot; those of newest snapshots first."""

    superseded: bool
    workload: WorkloadId
    shard: ShardId


_Placements = defaultdict[BackendId, set[_Placement]]
_Placed = tuple[_Placement, tuple[BackendId, ...]]


def list_owner_keys(topology: Topology, data_centre: DataCentreId) -> OwnerKeys:
    """Find the owner keys of each server of a data centre.

    The home key is the smallest one in a newest snapshot; its ranks hold
    the server's shares.
    """
    found = _place_replicas(topology)
    return {
        backend: _list_keys(found[backend] or {_nowhere(backend)}, data_centre)
        for backend, placed in topology.backends.items()
        if placed.data_centre == data_centre
    }


def _place_replicas(topology: Topology) -> _Placements:
    found: _Placements = defaultdict(set)
    for placement, replicas in _list_placements(topology):
        for replica in replicas:
            found[replica].add(placement)
    return found


def _nowhere(backend: BackendId) -> _Placement:
    """Place a server that no snapshot names, so that it has holders."""
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
