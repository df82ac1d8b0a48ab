"""Writes what the operators of a scenario publish."""

import time
from collections.abc import Iterator

from pydantic import BaseModel

from dandelionstage.model.ids import (
    BackendId,
    DataCentreId,
    Revision,
    ShardId,
    SnapshotId,
    VmId,
    WorkloadId,
)
from dandelionstage.model.topology import (
    BackendList,
    BackendServer,
    Snapshot,
    Vm,
    VmList,
    Workload,
)

from .layout import BackendPlace, Layout
from .ports import LOOPBACK
from .scenario import Scenario, WorkloadShape

__all__ = ('backend_list', 'documents', 'snapshot', 'vm_list')

_Documents = Iterator[tuple[str, BaseModel]]


def documents(scenario: Scenario, layout: Layout) -> _Documents:
    """Write every document of a scenario, each with its key."""
    for data_centre in scenario.data_centres:
        yield 'vms/{0}'.format(data_centre), vm_list(layout, data_centre)
        backends = backend_list(layout, data_centre)
        yield 'backends/{0}'.format(data_centre), backends
    for shape in scenario.workloads:
        workload = Workload(
            workload=WorkloadId(shape.workload),
            kind=shape.kind,
            snapshots=(snapshot(layout, shape, scenario.snapshot),),
        )
        yield 'workload/{0}'.format(shape.workload), workload
    for customer in scenario.customers:
        yield 'contract/{0}'.format(customer.customer), customer.contract()


def vm_list(layout: Layout, data_centre: str) -> VmList:
    """List the daemons of one data centre."""
    places = [vm for vm in layout.vms if vm.data_centre == data_centre]
    return VmList(
        data_centre=DataCentreId(data_centre),
        vms=tuple(
            Vm(vm=VmId(vm.vm), host=LOOPBACK, inner_port=vm.inner_port)
            for vm in places
        ),
    )


def backend_list(layout: Layout, data_centre: str) -> BackendList:
    """List the backend servers of one data centre."""
    return BackendList(
        data_centre=DataCentreId(data_centre),
        backends=tuple(
            _backend(place)
            for place in layout.backends
            if place.data_centre == data_centre
        ),
    )


def snapshot(
    layout: Layout,
    shape: WorkloadShape,
    name: str,
    shard_map_revision: int = 1,
) -> Snapshot:
    """Write a snapshot of a workload, published now."""
    shards: dict[ShardId, tuple[BackendId, ...]] = {}
    for place in layout.backends:
        if place.shape is shape:
            shard = ShardId(place.shard)
            backend = BackendId(place.backend)
            shards[shard] = (*shards.get(shard, ()), backend)
    return Snapshot(
        snapshot=SnapshotId(name),
        shard_map_revision=Revision(shard_map_revision),
        published_at_s=time.time(),
        shards=shards,
    )


def _backend(place: BackendPlace) -> BackendServer:
    return BackendServer(
        backend=BackendId(place.backend),
        host=LOOPBACK,
        port=place.port,
        slots=place.shape.slots,
        max_connections=place.shape.max_connections,
    )
