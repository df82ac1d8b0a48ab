"""Contracts for the comparisons."""

from collections.abc import Mapping, Sequence
from typing import Final

from dandelionstage.configuration.topology import PlacedVm, Topology
from dandelionstage.model.contract import Contract, Priority
from dandelionstage.model.ids import CustomerId, VmId, WorkloadId
from dandelionstage.model.topology import Vm

from .owner_run import HERE

__all__ = ('DEADLINE_MS', 'WORK_PER_S', 'make_contract', 'publish_contracts')

DEADLINE_MS: Final = 1000
#: Two customers together have half of what the servers can do.
WORK_PER_S: Final = 90
_DIGEST_LENGTH: Final = 64


def make_contract(customer: CustomerId) -> Contract:
    """Make a contract like all others."""
    return Contract(
        customer=customer,
        workloads=(WorkloadId('w'),),
        p99_ms=100,
        deadline_ms=DEADLINE_MS,
        minimum_coverage=1,
        work_per_s=WORK_PER_S,
        priority=Priority.INTERACTIVE,
        key_digests=('0' * _DIGEST_LENGTH,),
    )


def publish_contracts(
    contracts: Mapping[CustomerId, Contract], vms: Sequence[VmId]
) -> Topology:
    """Publish contracts and the VMs of one data centre."""
    return Topology(
        contracts=contracts,
        vms={
            vm: PlacedVm(Vm(vm=vm, host='::1', inner_port=1), HERE)
            for vm in vms
        },
        vm_lists={HERE: tuple(vms)},
    )
