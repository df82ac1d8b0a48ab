"""How a backend server's slots and connections are split over VMs."""

from collections.abc import Sequence
from itertools import chain
from typing import Final

from ..model.ids import VmId
from ..model.messages import OwnerKey
from ..model.topology import BackendServer
from ..routing.ownership import rank_owners
from .published_vms import PublishedVms
from .share_view import ShareView, make_digest

__all__ = ('CLAIMANTS', 'HEAD_ROOM', 'split_connections', 'view_slots')

#: Owner ranks that hold a share of their own.
_HOLDERS: Final = 3
#: Lists that lack up to this many VMs of each other let at most
#: ``_HOLDERS + HEAD_ROOM`` VMs take themselves for a holder.
HEAD_ROOM: Final = 2
CLAIMANTS: Final = _HOLDERS + HEAD_ROOM
#: Slots for each one of a reserve.
_SLOTS_PER_RESERVE: Final = 6


def view_slots(
    vm: VmId,
    server: BackendServer,
    owner_keys: Sequence[OwnerKey],
    published: PublishedVms,
) -> ShareView:
    """Work out the shares of one server's slots.

    :param owner_keys: the server's, its home key first.
    """
    holders = _list_holders(owner_keys, published)
    usable = min(server.slots, server.max_connections)
    slots = _split_slots(usable, holders)
    return ShareView(
        amount=slots.get(vm, 0),
        lenders=tuple(each for each in slots if slots[each] and each != vm),
        circle=_list_circle(owner_keys, published) - {vm},
        digest=make_digest(usable, holders),
    )


def split_connections(server: BackendServer) -> int:
    """Give each possible claimant the same, leaving one for each slot."""
    return max(0, server.max_connections - server.slots) // CLAIMANTS


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
    ranks = (rank_owners(key, vms)[:CLAIMANTS] for key in owner_keys)
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
