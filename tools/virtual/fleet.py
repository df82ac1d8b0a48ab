"""A fleet of VMs and a configuration service on virtual time."""

from collections.abc import Iterable, Mapping
from typing import Final

from dandelionstage.configuration.topology import PlacedVm
from dandelionstage.membership.messages import Identity
from dandelionstage.model.ids import (
    DataCentreId,
    DocumentKey,
    Incarnation,
    Revision,
    VmId,
)

from .documents import list_vms, vms_json
from .network import VirtualNetwork
from .service import SERVICE, VirtualService
from .vm import Surroundings, VirtualVm

__all__ = ('VirtualFleet',)

#: VMs that the settings of a VM name, in each data centre.
_SEEDS_PER_DATA_CENTRE: Final = 3

#: Virtual time between two looks at the fleet.
_STEP_MS: Final = 10


class VirtualFleet:  # noqa: WPS214 -- what tests do to a fleet, by name
    """Starts, stops, freezes and cuts off VMs.

    :ivar published: every VM of the published lists.
    :ivar vms: the running ones.
    """

    def __init__(self, sizes: Mapping[str, int], seed: int = 0) -> None:
        """Publish the lists of VMs; none runs yet."""
        self.network = VirtualNetwork(seed)
        self.published = list_vms(sizes)
        self.data_centres = tuple(map(DataCentreId, sizes))
        self.service = VirtualService(self.network, self.data_centres)
        self.vms: dict[VmId, VirtualVm] = {}
        self._around = Surroundings(self.network, self.service, self.vms.get)
        for data_centre in self.data_centres:
            key = DocumentKey('vms/{0}'.format(data_centre))
            self.service.write(key, vms_json(self.published, data_centre))

    def start(self, vms: Iterable[VmId] = (), incarnation: int = 1) -> None:
        """Start VMs anew, with nothing kept; all by default."""
        for vm in tuple(vms) or self.published:
            self.stop([vm])
            identity = Identity(
                vm,
                Incarnation(incarnation),
                self.published[vm].data_centre,
            )
            self.vms[vm] = VirtualVm(identity, self._seeds(), self._around)

    def stop(self, vms: Iterable[VmId]) -> None:
        """Kill VMs."""
        for vm in vms:
            running = self.vms.pop(vm, None)
            if running is not None:
                running.process.running = False

    def names_in(self, data_centre: str) -> frozenset[VmId]:
        """List the published VMs of a data centre."""
        return frozenset(
            vm
            for vm, placed in self.published.items()
            if placed.data_centre == data_centre
        )

    def cut_off(self, *data_centres: str, service: bool = True) -> None:
        """Cut each of these off from all others; none heals all.

        :param service: cut them off from the configuration service too.
        """
        self.network.spared = set() if service else {SERVICE}
        self.network.cut(*map(self.names_in, data_centres))

    def revisions(self, key: DocumentKey) -> set[Revision | None]:
        """Give the revisions of a document that running VMs hold."""
        return {vm.store.held().get(key) for vm in self.vms.values()}

    def run_until_held(
        self,
        key: DocumentKey,
        revision: Revision,
        limit_ms: float,
    ) -> float:
        """Run until every VM holds a revision or the time is up.

        :returns: how long that took, infinite if not all hold it.
        """
        start_ms = self.network.now_ms
        while self.network.now_ms < start_ms + limit_ms:
            self.network.run(_STEP_MS)
            if self.revisions(key) == {revision}:
                return self.network.now_ms - start_ms
        return float('inf')

    def _seeds(self) -> dict[VmId, PlacedVm]:
        seeds: dict[VmId, PlacedVm] = {}
        for data_centre in self.data_centres:
            names = sorted(self.names_in(data_centre))
            chosen = self.network.random.sample(
                names,
                min(_SEEDS_PER_DATA_CENTRE, len(names)),
            )
            seeds.update((vm, self.published[vm]) for vm in chosen)
        return seeds
