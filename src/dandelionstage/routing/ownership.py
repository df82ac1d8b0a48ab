"""Which VM owns a shard's replicas in a data centre."""

from collections.abc import Sequence
from functools import lru_cache
from typing import Final, final

from ..model.ids import VmId
from ..model.messages import OwnerKey
from .rendezvous import rank_vms

__all__ = ('OwnerRanking', 'rank_owners')

#: Published lists and owner keys whose ranking is kept.
_CACHED_RANKINGS: Final = 65_536


def rank_owners(owner_key: OwnerKey, vms: Sequence[VmId]) -> tuple[VmId, ...]:
    """Order VMs from the owner of a key to the last to take it over.

    Removing a VM moves only the keys which that VM owned.

    :param vms: the VMs of the key's data centre, in any order.
    """
    return rank_vms(_name_of(owner_key), vms)


@final
class OwnerRanking:
    """Remembers the first owners of each key while its list stands.

    A list is compared by contents, which is quick while the caller passes
    the same tuple.
    """

    def __init__(self, depth: int) -> None:
        """Keep the first ``depth`` owners of each key."""
        self._rank = lru_cache(maxsize=_CACHED_RANKINGS)(
            lambda key, vms: rank_owners(key, vms)[:depth],
        )
        self._lists: dict[str, tuple[VmId, ...]] = {}

    def first_owners(
        self, owner_key: OwnerKey, vms: tuple[VmId, ...]
    ) -> tuple[VmId, ...]:
        """Return the first owners of a key, best first."""
        if self._lists.get(owner_key.data_centre) != vms:
            self._rank.cache_clear()
            self._lists[owner_key.data_centre] = vms
        return self._rank(owner_key, vms)


def _name_of(owner_key: OwnerKey) -> str:
    return '\0'.join(
        (owner_key.workload, owner_key.shard, owner_key.data_centre)
    )
