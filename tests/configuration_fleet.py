"""A fleet whose documents are watched for any that reverts."""

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

TODAY: Final[Mapping[str, int]] = MappingProxyType(
    {'jihlava': 5, 'trebic': 5, 'pelhrimov': 4, 'zdar': 4},
)
CUSTOMER: Final = CustomerId('finders')
HOME: Final = DataCentreId('jihlava')
KEY: Final = DocumentKey('contract/finders')
_STEP_MS: Final = 10
_START_MS: Final = 5000


class WatchedFleet(VirtualFleet):
    """Checks at each step that no revision in force goes down.

    A revision is in force once every running VM held it; from then on a VM
    that says it is ready holds it, one that starts anew too.

    :ivar reachable: whether a VM that starts can reach one that holds what
        is in force; where it cannot, nobody could tell it.
    """

    def __init__(self, seed: int, sizes: Mapping[str, int] = TODAY) -> None:
        super().__init__(sizes, seed)
        self.floor = Revision(-1)
        self.reachable = True
        self._held: dict[VirtualVm, Revision] = {}
        revision = self.edit()
        self.start()
        self.run(_START_MS)
        assert self.floor == revision

    def edit(self, p99_ms: int = 100) -> Revision:
        """Publish a contract, an invalid one if the time is not positive."""
        return self.service.write(KEY, contract_json('finders', p99_ms))

    def withdraw(self) -> Revision:
        """Withdraw the contract."""
        return self.service.write(KEY, b'')

    def run(self, duration_ms: float) -> None:
        """Let time pass, checking at each step."""
        end_ms = self.network.now_ms + duration_ms
        while self.network.now_ms < end_ms:
            self.network.run(_STEP_MS)
            self.check()

    def wait_until_held(self, revision: Revision, limit_ms: float) -> None:
        """Fail unless all running VMs hold a revision within a time."""
        end_ms = self.network.now_ms + limit_ms
        while self.revisions(KEY) != {revision}:
            assert self.network.now_ms < end_ms, self.revisions(KEY)
            self.run(_STEP_MS)

    def check(self) -> None:
        """Fail if a revision went down on any VM."""
        for vm in self.vms.values():
            held = vm.store.held().get(KEY, Revision(-1))
            assert held >= self._held.get(vm, -1)
            self._held[vm] = held
            if self.reachable and vm.document_sync.ready(self.network.now_ms):
                assert held >= self.floor, vm.identity.vm
        current = [self._held[running] for running in self.vms.values()]
        self.floor = max(self.floor, min(current))

    def all_ready(self) -> bool:
        """Say whether every running VM is ready to serve."""
        now_ms = self.network.now_ms
        return all(vm.document_sync.ready(now_ms) for vm in self.vms.values())

    def readers(self) -> list[VmId]:
        """List the VMs that watch the service."""
        return [name for name, vm in self.vms.items() if vm.peers.is_reader()]


OK: Final = ServiceMode.OK
DOWN: Final = ServiceMode.DOWN
STALE: Final = ServiceMode.STALE
OLDER: Final = ServiceMode.OLDER
