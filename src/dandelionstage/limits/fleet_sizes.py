"""The sizes that a contract is divided by."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from ..configuration.topology import Topology
from ..model.contract import Contract

__all__ = ('FleetSizes', 'measure_fleet')


@final
@dataclass(frozen=True, slots=True)
class FleetSizes:
    """Counts of what is published.

    :ivar data_centres: those with VMs.
    :ivar vms: VMs in the smallest data centre.
    :ivar shards: shards of the largest workload allowed.
    """

    data_centres: int
    vms: int
    shards: int


def measure_fleet(topology: Topology, contract: Contract) -> FleetSizes:
    """Read the sizes from the published documents, each at least one."""
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
