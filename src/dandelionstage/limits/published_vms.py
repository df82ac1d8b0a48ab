"""The VMs that share the limits of a data centre."""

from dataclasses import dataclass
from typing import final

from ..configuration.topology import Topology
from ..model.ids import DataCentreId, VmId

__all__ = ('PublishedVms', 'list_data_centres', 'list_published')


@final
@dataclass(frozen=True, slots=True)
class PublishedVms:
    """The VMs published in one data centre.

    :ivar live: those that hold shares.
    :ivar listed: all, with those leaving that may still hold some.
    """

    live: tuple[VmId, ...]
    listed: frozenset[VmId]


def list_published(
    topology: Topology, data_centre: DataCentreId
) -> PublishedVms:
    """Read the list of one data centre."""
    live = topology.vm_lists.get(data_centre, ())
    leaving = topology.leaving_vm_lists.get(data_centre, ())
    return PublishedVms(live, frozenset((*live, *leaving)))


def list_data_centres(topology: Topology) -> frozenset[DataCentreId]:
    """List those that have VMs, leaving ones included."""
    return frozenset(placed.data_centre for placed in topology.vms.values())
