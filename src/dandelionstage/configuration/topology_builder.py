"""Builds the topology from the documents in force."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace
from operator import itemgetter

from ..model.contract import Contract
from ..model.documents import DocumentBody, DocumentKind
from ..model.ids import (
    BackendId,
    CustomerId,
    DataCentreId,
    Revision,
    VmId,
    WorkloadId,
)
from ..model.topology import BackendList, Presence, VmList, Workload
from .topology import PlacedBackend, PlacedVm, Topology, VmLists

__all__ = ('build_topology',)


def build_topology(
    bodies: Iterable[tuple[Revision, DocumentBody]],
    previous: Topology,
    changed: Collection[DocumentKind],
) -> Topology:
    """Build the topology from the bodies of all documents in force.

    A VM or backend server that is published in two data centres has moved
    and the older list is out of date, so the later revision decides.

    :param bodies: each valid body with the revision of its document.
    :param previous: the previous topology; its unchanged attributes are
        reused as the same objects, so that callers can detect changes by
        identity.
    :param changed: kinds of the documents changed since ``previous``.
    """
    ordered = [body for _revision, body in sorted(bodies, key=_sort_key)]
    topology = previous
    if DocumentKind.CONTRACT in changed:
        topology = replace(topology, contracts=_list_contracts(ordered))
    if DocumentKind.WORKLOAD in changed:
        topology = replace(topology, workloads=_list_workloads(ordered))
    if DocumentKind.BACKENDS in changed:
        topology = replace(topology, backends=_place_backends(ordered))
    if DocumentKind.VMS in changed:
        vms = _place_vms(ordered)
        topology = replace(
            topology,
            vms=vms,
            vm_lists=_list_vms(vms, Presence.LIVE),
            leaving_vm_lists=_list_vms(vms, Presence.LEAVING),
        )
    return topology


def _sort_key(item: tuple[Revision, DocumentBody]) -> tuple[Revision, str]:
    revision, body = item
    if isinstance(body, BackendList | VmList):
        return revision, body.data_centre
    return revision, ''


def _list_contracts(
    bodies: Iterable[DocumentBody],
) -> dict[CustomerId, Contract]:
    return {
        body.customer: body for body in bodies if isinstance(body, Contract)
    }


def _list_workloads(
    bodies: Iterable[DocumentBody],
) -> dict[WorkloadId, Workload]:
    return {
        body.workload: body for body in bodies if isinstance(body, Workload)
    }


def _place_backends(
    bodies: Iterable[DocumentBody],
) -> dict[BackendId, PlacedBackend]:
    return {
        server.backend: PlacedBackend(server, body.data_centre)
        for body in bodies
        if isinstance(body, BackendList)
        for server in body.backends
    }


def _place_vms(bodies: Iterable[DocumentBody]) -> dict[VmId, PlacedVm]:
    return {
        vm.vm: PlacedVm(vm, body.data_centre)
        for body in bodies
        if isinstance(body, VmList)
        for vm in body.vms
    }


def _list_vms(vms: Mapping[VmId, PlacedVm], presence: Presence) -> VmLists:
    lists: dict[DataCentreId, list[VmId]] = {}
    for vm, placed in sorted(vms.items(), key=itemgetter(0)):
        members = lists.setdefault(placed.data_centre, [])
        if placed.vm.presence is presence:
            members.append(vm)
    return {
        data_centre: tuple(members) for data_centre, members in lists.items()
    }
