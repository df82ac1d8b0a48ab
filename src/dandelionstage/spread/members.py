"""Which VMs there are, and which of them read the store for all."""

import math
from collections.abc import Iterator, KeysView
from dataclasses import dataclass
from random import Random
from typing import Final, NewType, final

from ..model.ids import VmId
from ..routing.rendezvous import rank_vms

__all__ = ('Address', 'Members', 'Sighting')

#: Where a VM is reached by the others; also its name among them.
Address = NewType('Address', VmId)

#: A VM that nobody has heard from for this long is passed over.
_ALIVE_MS: Final = 2000.0
#: News takes longer to go round a larger fleet; each doubling above this
#: size adds a round.
_SMALL_FLEET: Final = 32
_ROUND_MS: Final = 400.0
#: In a fleet of hundreds, word of a certain VM arrives every few seconds;
#: twice that keeps it listed while it lives.
_NEAR_MS: Final = 10_000.0
#: A VM that is gone for good still counts for shares of fleet-wide limits
#: for this long: it may only be cut off from here.
_COUNTED_MS: Final = 600_000.0
#: VMs told of in one hello.
_FIRST_TOLD: Final = 3
_OTHERS_TOLD: Final = 3
#: The name that VMs are ranked for to choose those that read.
_READERS_NAME: Final = 'store readers'


@final
@dataclass(slots=True)
class Sighting:
    """When somebody last heard from a VM.

    :ivar heard_ms: by this VM's steady clock.
    :ivar has_store: whether the VM reached the store when it last said.
    """

    data_centre: str
    heard_ms: float
    has_store: bool


@final
class Members:  # noqa: WPS214 -- the face of the package, short methods
    """A table of VMs with the age of what is known of each.

    Ages instead of times or counters need no agreement on a clock and no
    memory over a restart: whatever the way of the news, the smallest age
    is the best evidence.

    :ivar has_store: whether this VM reaches the store, as far as it knows.
    """

    def __init__(self, own: Address, data_centre: str) -> None:
        """Know of this VM only."""
        self.has_store = True
        self._own = own
        self._data_centre = data_centre
        self._seen: dict[Address, Sighting] = {}

    def __len__(self) -> int:
        """Count every VM that may exist, this one included."""
        return len(self._seen) + 1

    def known(self) -> KeysView[Address]:
        """Return the other VMs that may exist."""
        return self._seen.keys()

    def record(
        self,
        vm: Address,
        data_centre: str,
        heard_ms: float,
        *,
        has_store: bool,
    ) -> bool:
        """Take in evidence of a VM; tell whether the VM was unknown."""
        if vm == self._own:
            return False
        seen = self._seen.get(vm)
        if seen is None:
            self._seen[vm] = Sighting(data_centre, heard_ms, has_store)
        elif heard_ms > seen.heard_ms:
            seen.heard_ms = heard_ms
            seen.has_store = has_store
        return seen is None

    def expire(self, now_ms: float) -> None:
        """Drop VMs that were gone for so long that they do not come back."""
        oldest_ms = now_ms - _COUNTED_MS
        self._seen = {
            vm: seen
            for vm, seen in self._seen.items()
            if seen.heard_ms > oldest_ms
        }

    def alive(self, now_ms: float) -> list[Address]:
        """List the other VMs that were heard from lately."""
        doublings = math.log2(max(1, len(self) / _SMALL_FLEET))
        oldest_ms = now_ms - _ALIVE_MS - doublings * _ROUND_MS
        return [vm for vm in self._seen if self._is_heard(vm, oldest_ms)]

    def same_data_centre(self, now_ms: float) -> list[Address]:
        """List the other VMs of this data centre that may be alive.

        The list is longer than that of VMs surely alive, so that it is the
        same everywhere; who asks one of them finds out.
        """
        oldest_ms = now_ms - _NEAR_MS
        return [
            vm
            for vm, seen in self._seen.items()
            if seen.data_centre == self._data_centre
            and seen.heard_ms >= oldest_ms
        ]

    def choose_for_hello(
        self, now_ms: float, random: Random
    ) -> Iterator[tuple[Address, Sighting]]:
        """Choose VMs to tell another of.

        Those first in order to read are told of each time, so that everybody
        soon knows when one of them falls silent, and some others by lot.
        """
        first = [
            vm for vm in self._rank(now_ms)[:_FIRST_TOLD] if vm in self._seen
        ]
        others = [vm for vm in self._seen if vm not in first]
        count = min(_OTHERS_TOLD, len(others))
        for vm in (*first, *random.sample(others, count)):
            yield vm, self._seen[vm]

    def is_reader(self, now_ms: float) -> bool:
        """Whether this VM is among those that read the store."""
        return self._own in self.readers(now_ms)

    def readers(self, now_ms: float) -> list[Address]:
        """List the VMs that read, as seen from here.

        There are two, so that none has to notice the loss of the other in
        time, and not in one data centre if there are others.
        """
        first, *others = self._rank(now_ms)
        elsewhere = [
            vm for vm in others if self._place(vm) != self._place(first)
        ]
        return [first, *(elsewhere or others)[:1]]

    def _rank(self, now_ms: float) -> list[Address]:
        """Order the VMs that may read, the same from everywhere."""
        alive = self.alive(now_ms)
        able = [vm for vm in alive if self._seen[vm].has_store]
        if self.has_store:
            able.append(self._own)
        # When nobody has the store, the first in order go on trying.
        candidates = able or [*alive, self._own]
        return [Address(vm) for vm in rank_vms(_READERS_NAME, candidates)]

    def _is_heard(self, vm: Address, since_ms: float) -> bool:
        return self._seen[vm].heard_ms >= since_ms

    def _place(self, vm: Address) -> str:
        seen = self._seen.get(vm)
        return self._data_centre if seen is None else seen.data_centre
