"""The documents in force, combined for the rest of the daemon."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, final

from ..model.contract import Contract
from ..model.ids import (
    BackendId,
    CustomerId,
    DataCentreId,
    VmId,
    WorkloadId,
)
from ..model.topology import BackendServer, Vm, Workload

__all__ = (
    'EMPTY_TOPOLOGY',
    'PlacedBackend',
    'PlacedVm',
    'Topology',
    'VmLists',
)

#: VMs by data centre, sorted.
VmLists = Mapping[DataCentreId, tuple[VmId, ...]]


@final
@dataclass(frozen=True, slots=True)
class PlacedBackend:
    """A published backend server and its data centre."""

    server: BackendServer
    data_centre: DataCentreId


@final
@dataclass(frozen=True, slots=True)
class PlacedVm:
    """A published VM and its data centre."""

    vm: Vm
    data_centre: DataCentreId


@final
@dataclass(frozen=True, slots=True)
class Topology:
    """An immutable view of all documents in force.

    It depends only on the documents and not on the order of their arrival,
    so that all VMs that hold the same documents see the same topology.

    :ivar vm_lists: VMs published as live, sorted, by data centre.
    :ivar leaving_vm_lists: VMs published as leaving, sorted, by data centre.
    """

    contracts: Mapping[CustomerId, Contract] = field(default_factory=dict)
    workloads: Mapping[WorkloadId, Workload] = field(default_factory=dict)
    backends: Mapping[BackendId, PlacedBackend] = field(default_factory=dict)
    vms: Mapping[VmId, PlacedVm] = field(default_factory=dict)
    vm_lists: VmLists = field(default_factory=dict)
    leaving_vm_lists: VmLists = field(default_factory=dict)


#: The topology of a VM without documents.
EMPTY_TOPOLOGY: Final = Topology()
