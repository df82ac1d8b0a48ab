"""Ranking of the VMs that own a shard's replicas in a data centre."""

from collections.abc import Sequence
from functools import lru_cache
from typing import Final, final

from ..model.ids import VmId
from ..model.messages import OwnerKey
from .rendezvous import rank_vms

__all__ = ('OwnerRanking', 'rank_owners')

#: Maximum number of cached rankings, by owner key and list of VMs.
_CACHED_RANKINGS: Final = 65_536


def rank_owners(owner_key: OwnerKey, vms: Sequence[VmId]) -> tuple[VmId, ...]:
    """Rank VMs as owners of a key, the first owner first.

    If a VM is removed, only the keys that it owned get another first owner.

    :param vms: VMs of the key's data centre, in any order.
    """
    return rank_vms(_hash_name(owner_key), vms)


@final
class OwnerRanking:
    """Caches the first owners of each key until the list of VMs changes.

    Lists are compared by value, which is fast if the caller passes the same
    tuple each time.
    """

    def __init__(self, depth: int) -> None:
        """Create a cache of the first ``depth`` owners of each key."""
        self._rank = lru_cache(maxsize=_CACHED_RANKINGS)(
            lambda key, vms: rank_owners(key, vms)[:depth],
        )
        self._lists: dict[str, tuple[VmId, ...]] = {}

    def first_owners(
        self, owner_key: OwnerKey, vms: tuple[VmId, ...]
    ) -> tuple[VmId, ...]:
        """Return the first owners of a key, the best first."""
        if self._lists.get(owner_key.data_centre) != vms:
            self._rank.cache_clear()
            self._lists[owner_key.data_centre] = vms
        return self._rank(owner_key, vms)


def _hash_name(owner_key: OwnerKey) -> str:
    return '\0'.join(
        (owner_key.workload, owner_key.shard, owner_key.data_centre)
    )
