"""The published VMs among which a data centre's limits are shared."""

from dataclasses import dataclass
from typing import final

from ..configuration.topology import Topology
from ..model.ids import DataCentreId, VmId

__all__ = ('PublishedVms', 'list_data_centres', 'list_published')


@final
@dataclass(frozen=True, slots=True)
class PublishedVms:
    """The VMs published in one data centre.

    :ivar live: VMs not published as leaving; they get shares.
    :ivar listed: live and leaving VMs; a leaving VM may still hold a share.
    """

    live: tuple[VmId, ...]
    listed: frozenset[VmId]


def list_published(
    topology: Topology, data_centre: DataCentreId
) -> PublishedVms:
    """Return the VMs published in one data centre."""
    live = topology.vm_lists.get(data_centre, ())
    leaving = topology.leaving_vm_lists.get(data_centre, ())
    return PublishedVms(live, frozenset((*live, *leaving)))


def list_data_centres(topology: Topology) -> frozenset[DataCentreId]:
    """Return the data centres with VMs, including leaving VMs."""
    return frozenset(placed.data_centre for placed in topology.vms.values())
