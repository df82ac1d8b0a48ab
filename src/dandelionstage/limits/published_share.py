"""One VM's share of a limit, as its documents say."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

import xxhash

from ..model.ids import VmId

__all__ = ('NO_SHARE', 'PublishedShare', 'make_digest')


@final
@dataclass(frozen=True, slots=True)
class PublishedShare:
    """A share that is fixed by rank over the published list.

    :ivar amount: this VM's own, in the limit's unit.
    :ivar lenders: others who have an own share, most first.
    :ivar circle: others who may hold some, if lists differ a bit.
    :ivar digest: equal for VMs that see the same shares.
    """

    amount: float
    lenders: tuple[VmId, ...]
    possible_holders: frozenset[VmId]
    digest: str


NO_SHARE: Final = PublishedShare(0, (), frozenset(), '')


def make_digest(total: float, holders: Iterable[VmId]) -> str:
    """Name the shares of a total over ranked holders."""
    content = '\0'.join((str(total), *holders))
    return xxhash.xxh3_64_hexdigest(content.encode())
