"""The two deployments of today, scalable down."""

from collections.abc import Iterable
from typing import Final

from dandelionstage.model.contract import Priority
from dandelionstage.model.topology import WorkloadKind

from .scenario import Customer, Scenario, WorkloadShape

__all__ = ('bg_south', 'vysocina')

_BG_SOUTH: Final = ('plovdiv-a', 'plovdiv-b', 'burgas-c')
_VYSOCINA: Final = ('jihlava', 'trebic', 'pelhrimov', 'zdar')


def bg_south(
    data_centres: int = 3,
    vms: int = 5,
    shards: int = 20,
    sync_shards: int = 30,
    apart: Iterable[str] = (),
) -> Scenario:
    """Describe the ringing association's deployment.

    :param vms: daemons in each data centre.
    :param shards: shards of finder-desk.
    :param sync_shards: shards of scheme-sync, 0 to leave it out.
    :param apart: shards whose backend servers can be lost alone.
    """
    return Scenario(
        name='bg-south',
        data_centres=_BG_SOUTH[:data_centres],
        vms=vms,
        workloads=_present(
            _archive('finder-desk', shards, 60),
            _archive('scheme-sync', sync_shards, 60),
            _service('ringer-portal', 5, 4, 100, WorkloadKind.ACTIONS),
            _service('tally-board', 3, 4, 100),
        ),
        customers=(
            Customer('vets', ('finder-desk',), Priority.URGENT, p99_ms=500),
            Customer(
                'finders',
                ('finder-desk', 'ringer-portal', 'tally-board'),
            ),
            Customer(
                'ringers',
                ('finder-desk', 'scheme-sync', 'ringer-portal'),
                Priority.BATCH,
                deadline_ms=10_000,
            ),
        ),
        apart=frozenset(apart),
    )


def vysocina(
    data_centres: int = 4,
    vms: int = 4,
    shards: int = 20,
    archive_shards: int = 30,
    apart: Iterable[str] = (),
) -> Scenario:
    """Describe the engraving workshop's deployment.

    :param vms: daemons in each data centre.
    :param shards: shards of pult.
    :param archive_shards: shards of archiv, 0 to leave it out.
    :param apart: shards whose backend servers can be lost alone.
    """
    return Scenario(
        name='vysocina',
        data_centres=_VYSOCINA[:data_centres],
        vms=vms,
        workloads=_present(
            _archive('pult', shards, 50),
            _archive('archiv', archive_shards, 50),
            _service('dilna', 4, 6, 200, WorkloadKind.ACTIONS),
            _service('clenove', 4, 6, 200),
        ),
        customers=(
            Customer(
                'counter',
                ('pult', 'dilna', 'clenove'),
                Priority.URGENT,
                minimum_coverage=1,
            ),
            Customer('workshop', ('pult', 'dilna')),
            Customer(
                'curators',
                ('archiv', 'pult'),
                Priority.BATCH,
                deadline_ms=10_000,
            ),
        ),
        apart=frozenset(apart),
    )


def _present(*shapes: WorkloadShape) -> tuple[WorkloadShape, ...]:
    return tuple(shape for shape in shapes if shape.shards)


def _archive(workload: str, shards: int, connections: int) -> WorkloadShape:
    return WorkloadShape(
        workload=workload,
        shards=shards,
        replicas=2,
        slots=2,
        max_connections=connections,
        connect_ms=6,
    )


def _service(
    workload: str,
    servers: int,
    slots: int,
    connections: int,
    kind: WorkloadKind = WorkloadKind.SEARCH,
) -> WorkloadShape:
    return WorkloadShape(
        workload=workload,
        shards=1,
        replicas=servers,
        slots=slots,
        max_connections=connections,
        connect_ms=1,
        kind=kind,
    )
