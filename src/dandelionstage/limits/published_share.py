"""One VM's share of a limit by the published documents."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

import xxhash

from ..model.ids import VmId

__all__ = ('NO_SHARE', 'PublishedShare', 'make_digest')


@final
@dataclass(frozen=True, slots=True)
class PublishedShare:
    """A share that follows from the ranking of the published VMs.

    :ivar amount: the share of this VM, in the unit of the limit.
    :ivar lenders: other VMs with a share of their own, largest share first.
    :ivar possible_holders: all other VMs that may hold a part of the limit
        if their lists differ from this one by a few VMs.
    :ivar digest: equal on VMs whose documents give the same shares.
    """

    amount: float
    lenders: tuple[VmId, ...]
    possible_holders: frozenset[VmId]
    digest: str


NO_SHARE: Final = PublishedShare(0, (), frozenset(), '')


def make_digest(total: float, holders: Iterable[VmId]) -> str:
    """Return a digest of a total and the ranked VMs that share it."""
    content = '\0'.join((str(total), *holders))
    return xxhash.xxh3_64_hexdigest(content.encode())
