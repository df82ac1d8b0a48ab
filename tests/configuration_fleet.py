"""A simulated fleet that checks that no document reverts."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from dandelionstage.model.ids import (
    CustomerId,
    DataCentreId,
    DocumentKey,
    Revision,
    VmId,
)
from tools.standins.config_history import ServiceMode
from tools.virtual.documents import contract_json
from tools.virtual.fleet import VirtualFleet
from tools.virtual.vm import VirtualVm

#: Number of VMs by data centre.
FLEET_SIZES: Final[Mapping[str, int]] = MappingProxyType(
    {'jihlava': 5, 'trebic': 5, 'pelhrimov': 4, 'zdar': 4},
)
CUSTOMER: Final = CustomerId('finders')
DATA_CENTRE: Final = DataCentreId('jihlava')
KEY: Final = DocumentKey('contract/finders')
_STEP_MS: Final = 10
_START_MS: Final = 5000


class MonitoredFleet(VirtualFleet):
    """A virtual fleet that checks at each step that no revision decreases.

    A revision is in force once every running VM has held it.  From then on
    each ready VM must hold it or a later one, including restarted VMs.

    :ivar lowest_allowed: the highest revision that has been in force.
    :ivar can_reach_current: whether every starting VM can reach a VM that
        holds the revision in force; if not, ready VMs may hold an older one.
    """

    def __init__(
        self, seed: int, sizes: Mapping[str, int] = FLEET_SIZES
    ) -> None:
        super().__init__(sizes, seed)
        self.lowest_allowed = Revision(-1)
        self.can_reach_current = True
        self._held: dict[VirtualVm, Revision] = {}
        revision = self.edit()
        self.start()
        self.run(_START_MS)
        assert self.lowest_allowed == revision

    def edit(self, p99_ms: int = 100) -> Revision:
        """Publish a contract; it is invalid if ``p99_ms`` is not positive."""
        return self.service.write(KEY, contract_json('finders', p99_ms))

    def withdraw(self) -> Revision:
        """Withdraw the contract."""
        return self.service.write(KEY, b'')

    def run(self, duration_ms: float) -> None:
        """Advance the time, checking the revisions at each step."""
        end_ms = self.network.now_ms + duration_ms
        while self.network.now_ms < end_ms:
            self.network.run(_STEP_MS)
            self.check_revisions()

    def wait_until_held(self, revision: Revision, limit_ms: float) -> None:
        """Fail unless all running VMs hold a revision within ``limit_ms``."""
        end_ms = self.network.now_ms + limit_ms
        while self.revisions(KEY) != {revision}:
            assert self.network.now_ms < end_ms, self.revisions(KEY)
            self.run(_STEP_MS)

    def check_revisions(self) -> None:
        """Fail if a revision decreased on any VM."""
        for vm in self.vms.values():
            held = vm.store.held().get(KEY, Revision(-1))
            assert held >= self._held.get(vm, -1)
            self._held[vm] = held
            if self.can_reach_current and vm.document_sync.ready(
                self.network.now_ms
            ):
                assert held >= self.lowest_allowed, vm.identity.vm
        current = [self._held[running] for running in self.vms.values()]
        self.lowest_allowed = max(self.lowest_allowed, min(current))

    def all_ready(self) -> bool:
        """Return whether every running VM is ready to serve."""
        now_ms = self.network.now_ms
        return all(vm.document_sync.ready(now_ms) for vm in self.vms.values())

    def readers(self) -> list[VmId]:
        """Return the VMs that watch the service."""
        return [name for name, vm in self.vms.items() if vm.peers.is_reader()]


OK: Final = ServiceMode.OK
DOWN: Final = ServiceMode.DOWN
STALE: Final = ServiceMode.STALE
OLDER: Final = ServiceMode.OLDER
