"""Splits the slots and connections of a backend server over VMs."""

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
    'HEADROOM_VMS',
    'MAX_HOLDERS',
    'connections_per_holder',
    'slot_share',
)

#: Number of first-ranked VMs that hold slots of a server.
_HOLDER_COUNT: Final = 3
#: While the VMs' lists differ by up to this many VMs, at most
#: ``_HOLDER_COUNT + HEADROOM_VMS`` VMs rank themselves among the holders.
HEADROOM_VMS: Final = 2
MAX_HOLDERS: Final = _HOLDER_COUNT + HEADROOM_VMS
#: Each holder after the first gets one slot per this many slots of a server,
#: but at least one if the server has enough.
_SLOTS_PER_RESERVE_SLOT: Final = 6


def slot_share(
    vm: VmId,
    server: BackendServer,
    owner_keys: Sequence[OwnerKey],
    published: PublishedVms,
) -> PublishedShare:
    """Compute one VM's share of a server's slots.

    :param owner_keys: owner keys of the server, its home key first.
    """
    holders = _list_holders(owner_keys, published)
    usable = min(server.slots, server.max_connections)
    slots = _split_slots(usable, holders)
    return PublishedShare(
        amount=slots.get(vm, 0),
        lenders=tuple(
            holder for holder in slots if slots[holder] and holder != vm
        ),
        possible_holders=_list_possible_holders(owner_keys, published) - {vm},
        digest=make_digest(usable, holders),
    )


def connections_per_holder(server: BackendServer) -> int:
    """Return the connections that each holder may have, whatever its slots.

    One connection for each slot is reserved; the remaining connections are
    split evenly over ``MAX_HOLDERS`` VMs.
    """
    return max(0, server.max_connections - server.slots) // MAX_HOLDERS


def _list_holders(
    owner_keys: Sequence[OwnerKey], published: PublishedVms
) -> tuple[VmId, ...]:
    if not owner_keys:
        return ()
    return rank_owners(owner_keys[0], published.live)[:_HOLDER_COUNT]


def _list_possible_holders(
    owner_keys: Sequence[OwnerKey], published: PublishedVms
) -> frozenset[VmId]:
    vms = sorted(published.listed)
    ranks = (rank_owners(key, vms)[:MAX_HOLDERS] for key in owner_keys)
    return frozenset(chain.from_iterable(ranks))


def _split_slots(slots: int, holders: Sequence[VmId]) -> dict[VmId, int]:
    """Give the lower ranks a reserve each and the first rank the rest."""
    shares: dict[VmId, int] = {}
    reserve = max(1, slots // _SLOTS_PER_RESERVE_SLOT)
    remaining = slots
    for holder in holders[1:]:
        shares[holder] = min(reserve, remaining - 1)
        remaining -= shares[holder]
    # The first rank comes first, so that others borrow from it first.
    return dict.fromkeys(holders[:1], remaining) | shares
