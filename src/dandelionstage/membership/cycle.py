"""A shuffled round robin over VMs."""

import random
from typing import final

from ..model.ids import VmId

__all__ = ('Cycle',)


@final
class Cycle:
    """A shuffled round robin that returns every VM within a bounded time.

    The order differs from one probing VM to another.
    SWIM probes in this order, because with independent random choices some
    VMs would not be probed for a long time.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Start without VMs."""
        self._random = random_source
        self._vms: tuple[VmId, ...] = ()
        self._remaining: list[VmId] = []

    def replace_vms(self, vms: tuple[VmId, ...]) -> None:
        """Replace the VMs; an equal tuple keeps the current order."""
        if vms != self._vms:
            self._vms = vms
            self._remaining = []

    def next_vm(self) -> VmId | None:
        """Return the next VM, ``None`` if there are no VMs."""
        if not self._remaining:
            self._remaining = list(self._vms)
            self._random.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None
