"""How a backend server's slots and connections are split over VMs."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain
from typing import Final, final

import xxhash

from ..model.ids import VmId
from ..model.messages import OwnerKey
from ..model.topology import BackendServer
from ..routing.ownership import rank_owners
from .published_vms import PublishedVms

__all__ = ('ShareView', 'view_share')

#: Owner ranks that hold a share of their own.
_HOLDERS: Final = 3
#: Lists that lack up to this many VMs of each other let at most
#: ``_HOLDERS + _HEAD_ROOM`` VMs take themselves for a holder.
_HEAD_ROOM: Final = 2
_CLAIMANTS: Final = _HOLDERS + _HEAD_ROOM
#: Slots for each one of a reserve.
_SLOTS_PER_RESERVE: Final = 6


@final
@dataclass(frozen=True, slots=True)
class ShareView:
    """One server's shares as one VM sees them in its documents.

    :ivar slots: slots of this VM's own.
    :ivar connections: connections it may hold besides those that come
        with borrowed slots.
    :ivar lenders: others who hold slots, most first.
    :ivar circle: others who may hold or borrow some, if lists differ a bit.
    :ivar digest: equal for VMs that see the same shares.
    """

    slots: int
    connections: int
    lenders: tuple[VmId, ...]
    circle: frozenset[VmId]
    digest: str


def view_share(
    vm: VmId,
    server: BackendServer,
    owner_keys: Sequence[OwnerKey],
    published: PublishedVms,
) -> ShareView:
    """Work out the shares of one server.

    :param owner_keys: the server's, its home key first.
    """
    holders = _list_holders(owner_keys, published)
    usable = min(server.slots, server.max_connections)
    slots = _split_slots(usable, holders)
    return ShareView(
        slots=slots.get(vm, 0),
        connections=_split_connections(server) if vm in slots else 0,
        lenders=tuple(each for each in slots if slots[each] and each != vm),
        circle=_list_circle(owner_keys, published) - {vm},
        digest=_digest(holders, usable),
    )


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
    ranks = (rank_owners(key, vms)[:_CLAIMANTS] for key in owner_keys)
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


def _split_connections(server: BackendServer) -> int:
    """Give each possible claimant the same, leaving one for each slot."""
    return max(0, server.max_connections - server.slots) // _CLAIMANTS


def _digest(holders: Iterable[VmId], slots: int) -> str:
    content = '\0'.join((str(slots), *holders))
    return xxhash.xxh3_64_hexdigest(content.encode())
