"""What the spread of documents sees of the members."""

from collections.abc import Iterable
from itertools import chain
from typing import Final

from ..configuration.commands import PeerView
from ..configuration.topology import PlacedVm
from ..membership.members import Members
from ..membership.messages import Identity
from ..model.ids import VmId
from ..model.topology import Vm
from ..routing.rendezvous import rank_vms
from ..settings.model import SeedPeer

__all__ = ('place_seeds', 'view_peers')

#: VMs of each data centre that watch the configuration service.
_READERS: Final = 2


def view_peers(members: Members, identity: Identity) -> PeerView:
    """Make the view that follows the members.

    The readers of a data centre are the first in rendezvous order of those
    it takes to be live (Thaler and Ravishankar 1998), so that a VM which
    hears of no other reads for itself.
    """
    own = identity.data_centre
    neighbours = _Neighbours(identity)

    def same_data_centre() -> tuple[VmId, ...]:  # noqa: WPS430 -- a closure
        return neighbours.others(members.live(own))

    def other_data_centres() -> tuple[VmId, ...]:  # noqa: WPS430 -- a closure
        return tuple(
            chain.from_iterable(
                members.live(data_centre)
                for data_centre in members.data_centres()
                if data_centre != own
            ),
        )

    def is_reader() -> bool:  # noqa: WPS430 -- a closure
        live = members.live(own)
        if identity.vm not in live:
            return not same_data_centre()
        return identity.vm in neighbours.readers(live)

    return PeerView(same_data_centre, other_data_centres, is_reader)


class _Neighbours:
    """Remembers what was made of a list for as long as it is the same."""

    def __init__(self, identity: Identity) -> None:
        self._vm = identity.vm
        self._name = 'reader/{0}'.format(identity.data_centre)
        self._live: tuple[VmId, ...] = ()
        self._readers: tuple[VmId, ...] = ()
        self._others: tuple[VmId, ...] = ()

    def readers(self, live: tuple[VmId, ...]) -> tuple[VmId, ...]:
        self._use(live)
        return self._readers

    def others(self, live: tuple[VmId, ...]) -> tuple[VmId, ...]:
        self._use(live)
        return self._others

    def _use(self, live: tuple[VmId, ...]) -> None:
        if live is not self._live:
            self._live = live
            self._readers = rank_vms(self._name, live)[:_READERS]
            self._others = tuple(vm for vm in live if vm != self._vm)


def place_seeds(seeds: Iterable[SeedPeer]) -> dict[VmId, PlacedVm]:
    """List the peers that the settings name as if they were published.

    A daemon goes by them until it holds a published list of VMs.
    """
    return {
        seed.vm: PlacedVm(
            Vm(vm=seed.vm, host=str(seed.host), inner_port=seed.inner_port),
            seed.data_centre,
        )
        for seed in seeds
    }
