"""Rendezvous hashing, by which all VMs compute the same ranking."""

from collections.abc import Sequence

import xxhash

from ..model.ids import VmId

__all__ = ('rank_vms',)


def rank_vms(name: str, vms: Sequence[VmId]) -> tuple[VmId, ...]:
    """Rank VMs for a name by rendezvous hashing.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", 1998.
    """
    seed = xxhash.xxh3_64_intdigest(name.encode())
    return tuple(
        sorted(vms, key=lambda vm: (_weight(seed, vm), vm), reverse=True)
    )


def _weight(seed: int, vm: VmId) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode(), seed=seed)
