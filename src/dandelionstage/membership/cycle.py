"""Visits VMs in turn, in an order that differs from VM to VM."""

import random
from typing import final

from ..model.ids import VmId

__all__ = ('Cycle',)


@final
class Cycle:
    """A shuffled round robin, so that every VM's turn comes in bounded time.

    SWIM's order of probing: a random choice each time would leave some VMs
    out for long.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Start with nobody to visit."""
        self._random = random_source
        self._vms: tuple[VmId, ...] = ()
        self._left: list[VmId] = []

    def use(self, vms: tuple[VmId, ...]) -> None:
        """Visit these from now on; the same ones keep their order."""
        if vms != self._vms:
            self._vms = vms
            self._left = []

    def take(self) -> VmId | None:
        """Give the VM whose turn it is, ``None`` if there is none."""
        if not self._left:
            self._left = list(self._vms)
            self._random.shuffle(self._left)
        return self._left.pop() if self._left else None
