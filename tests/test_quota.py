"""A customer's admitted work stays within its contract over all VMs."""

from random import Random

from hypothesis.stateful import invariant
from tests.lease_fleet import SETTINGS, VMS, LeaseFleet
from tests.owner_fakes import DATA_CENTRE

from dandelionstage.configuration.topology import PlacedVm, Topology
from dandelionstage.limits.admission import Admission
from dandelionstage.model.contract import Contract, Priority
from dandelionstage.model.ids import CustomerId, DataCentreId, VmId, WorkloadId
from dandelionstage.model.topology import Vm

DESK = CustomerId('desk')
COST = 5
#: Factor for the rounding of sums of fractional rates.
ROUNDING = 1.000001


def make_contract(work_per_s: float) -> Contract:
    """Make a contract with a quota of sub-requests per second."""
    return Contract(
        customer=DESK,
        workloads=(WorkloadId('w'),),
        p99_ms=100,
        deadline_ms=400,
        minimum_coverage=1,
        work_per_s=work_per_s,
        priority=Priority.INTERACTIVE,
        key_digests=('0' * 64,),
    )


def make_documents(contract: Contract) -> Topology:
    """Make documents of a contract and VMs in two data centres."""
    near, far = (Vm(vm=vm, host='::1', inner_port=1) for vm in VMS[:2])
    return Topology(
        contracts={DESK: contract},
        vms={
            near.vm: PlacedVm(near, DATA_CENTRE),
            far.vm: PlacedVm(far, DataCentreId('far')),
        },
    )


class EntryNode:
    """An entry whose callers send as many queries as are admitted."""

    def __init__(self, vm: VmId, contract: Contract) -> None:
        """Create the admission of a new process."""
        self.admission = Admission(vm, DATA_CENTRE, Random(vm))
        self.use_topology = self.admission.use_topology
        self.requests = self.admission.quota_leases.requests
        self.receive_request = self.admission.quota_leases.receive_request
        self.receive_grant = self.admission.quota_leases.receive_grant
        self.admitted = 0
        self._contract = contract

    def work(self, now_ms: float, *, busy: bool) -> None:
        """Admit queries until one is refused."""
        self.admission.tick(now_ms)
        while busy and not self.admission.admit(self._contract, COST, now_ms):
            self.admission.release(self._contract)
            self.admitted += COST


class SharedContract(LeaseFleet[EntryNode]):
    """VMs of one of two data centres that share a contract."""

    def __init__(self) -> None:
        """Create a fleet without VMs."""
        super().__init__()
        self.admitted_before_restart = 0
        self.process_count = 0

    @property
    def contract(self) -> Contract:
        """The contract; this data centre has half of its quota."""
        return make_contract(self.size * 200)

    def new_sharer(self, vm: VmId) -> EntryNode:
        """Create an entry, and count what the ended process admitted."""
        self.admitted_before_restart += sum(
            node.sharer.admitted for node in self.find(vm)
        )
        self.process_count += 1
        return EntryNode(vm, self.contract)

    def documents(self) -> Topology:
        """Return the documents with the contract."""
        return make_documents(self.contract)

    @invariant()
    def is_within_the_rate(self) -> None:
        """The sum of the rates of all VMs is within the quota."""
        rates = [
            node.sharer.admission.rate_per_s(
                DESK, self.now_ms + node.clock_offset_ms
            )
            for node in self.active_nodes()
        ]
        assert sum(rates) <= self.size * 100 * ROUNDING

    @invariant()
    def is_within_the_contract(self) -> None:
        """Admitted work is within the quota and one overdraft per process."""
        admitted = [node.sharer.admitted for node in self.nodes.values()]
        earned = self.size * 100 * self.now_ms / 1000
        overdrawn = self.process_count * COST
        assert (
            sum(admitted) + self.admitted_before_restart
            <= earned * ROUNDING + overdrawn
        )


SharedContract.TestCase.settings = SETTINGS
test_contract_is_never_exceeded = SharedContract.TestCase
