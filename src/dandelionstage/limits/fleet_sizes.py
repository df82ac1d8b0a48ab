"""Fleet sizes over which a contract is divided."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from ..configuration.topology import Topology
from ..model.contract import Contract

__all__ = ('FleetSizes', 'measure_fleet')


@final
@dataclass(frozen=True, slots=True)
class FleetSizes:
    """Counts of data centres, VMs and shards, each at least one.

    :ivar data_centres: number of data centres that have VMs.
    :ivar vms: number of VMs in the smallest of these data centres.
    :ivar shards: number of shards of the contract's largest workload.
    """

    data_centres: int
    vms: int
    shards: int


def measure_fleet(topology: Topology, contract: Contract) -> FleetSizes:
    """Count the fleet sizes in the published documents."""
    vm_counts = [len(vms) for vms in topology.vm_lists.values() if vms]
    return FleetSizes(
        data_centres=max(1, len(vm_counts)),
        vms=min(vm_counts, default=1),
        shards=max(_count_shards(topology, contract), default=1),
    )


def _count_shards(topology: Topology, contract: Contract) -> Iterable[int]:
    for workload in contract.workloads:
        published = topology.workloads.get(workload)
        if published is not None:
            yield len(published.snapshots[0].shards)
