"""Orders VMs by name so that everybody gets the same order."""

from collections.abc import Sequence

import xxhash

from ..model.ids import VmId

__all__ = ('rank_vms',)


def rank_vms(name: str, vms: Sequence[VmId]) -> tuple[VmId, ...]:
    """Order VMs for a name by rendezvous hashing.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", 1998.
    """
    prefix = xxhash.xxh3_64_intdigest(name.encode())
    return tuple(
        sorted(vms, key=lambda vm: (_weigh(prefix, vm), vm), reverse=True)
    )


def _weigh(prefix: int, vm: VmId) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode(), seed=prefix)
