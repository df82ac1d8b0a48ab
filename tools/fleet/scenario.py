"""What a fleet looks like: data centres, VMs, workloads and customers."""

from dataclasses import dataclass, field
from hashlib import sha256
from typing import Final, final

from dandelionstage.model.contract import Contract, Priority
from dandelionstage.model.ids import CustomerId, WorkloadId
from dandelionstage.model.topology import WorkloadKind

__all__ = ('Customer', 'Scenario', 'WorkloadShape')

_P99_MS: Final = 1000
_DEADLINE_MS: Final = 3000


@final
@dataclass(frozen=True, slots=True)
class WorkloadShape:
    """One workload and the backend servers that hold it.

    :ivar replicas: backend servers of each shard.
    :ivar spread: whether the replicas of a shard stand in different data
        centres, or all in one.
    :ivar connect_ms: how long a new connection takes.
    :ivar service_ms: how long a request takes.
    """

    workload: str
    shards: int
    replicas: int
    slots: int
    max_connections: int
    connect_ms: float
    service_ms: float = 2
    kind: WorkloadKind = WorkloadKind.SEARCH
    spread: bool = True

    def shard(self, index: int) -> str:
        """Name a shard, counted from 0."""
        return '{0}-{1:02d}'.format(self.workload, index + 1)

    def backend(self, index: int, replica: int) -> str:
        """Name a backend server of a shard."""
        return '{0}.{1}'.format(self.shard(index), 'abcdefgh'[replica])


@final
@dataclass(frozen=True, slots=True)
class Customer:
    """One customer, with the key that its contract knows by digest."""

    customer: str
    workloads: tuple[str, ...]
    priority: Priority = Priority.INTERACTIVE
    p99_ms: int = _P99_MS
    deadline_ms: int = _DEADLINE_MS
    minimum_coverage: float = 0
    work_per_s: float = 10_000
    extra_load_fraction: float = 0.05

    @property
    def key(self) -> str:
        """The key that the customer presents."""
        return 'key-of-{0}'.format(self.customer)

    def contract(self) -> Contract:
        """Write the contract as it is published."""
        return Contract(
            customer=CustomerId(self.customer),
            workloads=tuple(map(WorkloadId, self.workloads)),
            priority=self.priority,
            p99_ms=self.p99_ms,
            deadline_ms=self.deadline_ms,
            minimum_coverage=self.minimum_coverage,
            work_per_s=self.work_per_s,
            extra_load_fraction=self.extra_load_fraction,
            key_digests=(sha256(self.key.encode()).hexdigest(),),
        )


@final
@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet to run.

    :ivar vms: daemons in each data centre.
    :ivar apart: shards whose backend servers are processes of their own, so
        that they can be lost alone; the others of a data centre share one.
    """

    name: str
    data_centres: tuple[str, ...]
    vms: int
    workloads: tuple[WorkloadShape, ...]
    customers: tuple[Customer, ...]
    snapshot: str = 'snapshot-1'
    apart: frozenset[str] = field(default_factory=frozenset)

    def key_of(self, customer: str) -> str:
        """Give the key of a customer."""
        keys = {known.customer: known.key for known in self.customers}
        return keys[customer]

    def home(self, shape: WorkloadShape, index: int, replica: int) -> str:
        """Say in which data centre a backend server stands."""
        place = index + replica if shape.spread else index
        return self.data_centres[place % len(self.data_centres)]
