"""How a backend server's slots and connections are split over VMs."""

from collections.abc import Sequence
from itertools import chain
from typing import Final

from ..model.ids import VmId
from ..model.messages import OwnerKey
from ..model.topology import BackendServer
from ..routing.ownership import rank_owners
from .published_share import PublishedShare, make_digest
from .published_vms import PublishedVms

__all__ = (
    'MAX_HOLDERS',
    'HEADROOM_VMS',
    'connections_per_holder',
    'slot_share',
)

#: Owner ranks that hold a share of their own.
_HOLDERS: Final = 3
#: Lists that lack up to this many VMs of each other let at most
#: ``_HOLDERS + HEAD_ROOM`` VMs take themselves for a holder.
HEADROOM_VMS: Final = 2
MAX_HOLDERS: Final = _HOLDERS + HEADROOM_VMS
#: Slots for each one of a reserve.
_SLOTS_PER_RESERVE: Final = 6


def slot_share(
    vm: VmId,
    server: BackendServer,
    owner_keys: Sequence[OwnerKey],
    published: PublishedVms,
) -> PublishedShare:
    """Work out the shares of one server's slots.

    :param owner_keys: the server's, its home key first.
    """
    holders = _list_holders(owner_keys, published)
    usable = min(server.slots, server.max_connections)
    slots = _split_slots(usable, holders)
    return PublishedShare(
        amount=slots.get(vm, 0),
        lenders=tuple(each for each in slots if slots[each] and each != vm),
        possible_holders=_list_circle(owner_keys, published) - {vm},
        digest=make_digest(usable, holders),
    )


def connections_per_holder(server: BackendServer) -> int:
    """Give each possible claimant the same, leaving one for each slot."""
    return max(0, server.max_connections - server.slots) // MAX_HOLDERS


def _list_holders(
    owner_keys: Sequence[OwnerKey], published: PublishedVms
) -> tuple[VmId, ...]:
    if not owner_keys:
        return ()
    return rank_owners(owner_keys[0], published.live)[:_HOLDERS]


def _list_circle(
    owner_keys: Sequence[OwnerKey], published: PublishedVms
) -> frozenset[VmId]:
    vms = sorted(published.listed)
    ranks = (rank_owners(key, vms)[:MAX_HOLDERS] for key in owner_keys)
    return frozenset(chain.from_iterable(ranks))


def _split_slots(slots: int, holders: Sequence[VmId]) -> dict[VmId, int]:
    """Give the first rank most, the others a reserve each."""
    shares: dict[VmId, int] = {}
    reserve = max(1, slots // _SLOTS_PER_RESERVE)
    left = slots
    for holder in holders[1:]:
        shares[holder] = min(reserve, left - 1)
        left -= shares[holder]
    # The first comes first, so that it is asked first for a loan.
    return dict.fromkeys(holders[:1], left) | shares
