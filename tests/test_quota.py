"""A customer's work stays within its contract over all VMs."""

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
#: Rates are sums of fractions.
ROUNDING = 1.000001


def make_contract(work_per_s: float) -> Contract:
    """Make a contract for so much work."""
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
    """Publish a contract and two data centres."""
    near, far = (Vm(vm=vm, host='::1', inner_port=1) for vm in VMS[:2])
    return Topology(
        contracts={DESK: contract},
        vms={
            near.vm: PlacedVm(near, DATA_CENTRE),
            far.vm: PlacedVm(far, DataCentreId('far')),
        },
    )


class EntryNode:
    """An entry whose callers ask for all they can get."""

    def __init__(self, vm: VmId, contract: Contract) -> None:
        """Start a process."""
        self.admission = Admission(vm, DATA_CENTRE, Random(vm))
        self.use_topology = self.admission.use_topology
        self.requests = self.admission.steward.requests
        self.receive_request = self.admission.steward.receive_request
        self.receive_grant = self.admission.steward.receive_grant
        self.admitted = 0
        self._contract = contract

    def work(self, now_ms: float, *, busy: bool) -> None:
        """Bring queries until one is refused."""
        self.admission.tick(now_ms)
        while busy and not self.admission.admit(self._contract, COST, now_ms):
            self.admission.release(self._contract)
            self.admitted += COST


class SharedContract(LeaseFleet[EntryNode]):
    """VMs of one data centre of two share a contract."""

    def __init__(self) -> None:
        """Start without VMs."""
        super().__init__()
        self.ended = 0
        self.processes = 0

    @property
    def contract(self) -> Contract:
        """Give the contract; half of it is this data centre's."""
        return make_contract(self.size * 200)

    def new_sharer(self, vm: VmId) -> EntryNode:
        """Start an entry."""
        self.ended += sum(node.sharer.admitted for node in self.find(vm))
        self.processes += 1
        return EntryNode(vm, self.contract)

    def documents(self) -> Topology:
        """Publish the contract."""
        return make_documents(self.contract)

    @invariant()
    def is_within_the_rate(self) -> None:
        """Sum up what all VMs may admit in a second."""
        rates = [
            node.sharer.admission.rate_per_s(DESK, self.now_ms + node.ahead_ms)
            for node in self.awake()
        ]
        assert sum(rates) <= self.size * 100 * ROUNDING

    @invariant()
    def is_within_the_contract(self) -> None:
        """Sum up what was admitted; each process may overdraw once."""
        admitted = [node.sharer.admitted for node in self.nodes.values()]
        earned = self.size * 100 * self.now_ms / 1000
        overdrawn = self.processes * COST
        assert sum(admitted) + self.ended <= earned * ROUNDING + overdrawn


SharedContract.TestCase.settings = SETTINGS
test_contract_is_never_exceeded = SharedContract.TestCase
