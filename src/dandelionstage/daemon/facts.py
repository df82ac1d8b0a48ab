"""What a daemon knows of the fleet, shared by all of its parts."""

from collections.abc import Callable
from typing import final

from ..configuration.store import DocumentStore
from ..configuration.topology import Topology
from ..membership.members import Members
from ..model.ids import VmId, WorkloadId
from ..model.topology import Workload
from ..routing.targets import Router
from ..settings.model import Settings
from .peer_view import place_seeds

__all__ = ('Facts',)


@final
class Facts:
    """Keeps membership and routing in step with the documents in force."""

    def __init__(
        self,
        settings: Settings,
        store: DocumentStore,
        members: Members,
    ) -> None:
        """Start from the documents that the store holds."""
        self.store = store
        self.members = members
        self.router = Router(
            store.topology,
            members.live,
            settings.data_centre,
            settings.data_centre_order,
        )
        self._seeds = place_seeds(settings.seed_peers)
        self.members.replace_published(self._seeds)
        self._followers: list[Callable[[Topology], None]] = []

    def follow(self, follower: Callable[[Topology], None]) -> None:
        """Call this whenever documents in force have changed."""
        self._followers.append(follower)

    def refresh(self) -> None:
        """Let everything follow the documents in force."""
        topology = self.store.topology
        self.members.replace_published(topology.vms or self._seeds)
        self.router.use_topology(topology)
        for follower in self._followers:
            follower(topology)

    def topology(self) -> Topology:
        """Give the documents in force, joined."""
        return self.store.topology

    def workload(self, workload: WorkloadId) -> Workload | None:
        """Find a published workload as it stands now."""
        return self.store.topology.workloads.get(workload)

    def address_of(self, vm: VmId) -> tuple[str, int] | None:
        """Say where a VM answers: as published, else as the seeds say."""
        published = self.store.topology.vms
        placed = published.get(vm) or self._seeds.get(vm)
        if placed is None:
            return None
        return placed.vm.host, placed.vm.inner_port
