"""Known VMs and the selection of those that read the store on behalf of all."""

import math
from collections.abc import Iterator, KeysView
from dataclasses import dataclass
from random import Random
from typing import Final, NewType, final

from ..model.ids import VmId
from ..routing.rendezvous import rank_vms

__all__ = ('Address', 'MemberState', 'Members')

#: Address at which other VMs reach a VM; also identifies the VM.
Address = NewType('Address', VmId)

#: A VM counts as alive if any VM heard from it within this time.
_ALIVE_MS: Final = 2000.0
#: Gossip takes longer in a larger fleet: each doubling above this number of VMs
#: adds the time of one round.
_SMALL_FLEET_VMS: Final = 32
_ROUND_MS: Final = 400.0
#: In a fleet of hundreds of VMs, news of a given VM arrives every few seconds;
#: twice that time keeps a live VM in the list of its data centre.
_DATA_CENTRE_MS: Final = 10_000.0
#: A VM that has disappeared still counts as a holder of a share of fleet-wide
#: limits for this long, as it may only be unreachable from this VM.
_EXPIRY_MS: Final = 600_000.0
#: Numbers of VMs listed in one hello: the first in the reader ranking, and
#: others chosen at random.
_RANKED_PER_HELLO: Final = 3
_RANDOM_PER_HELLO: Final = 3
#: Key of the rendezvous ranking that determines the readers of the store.
_READERS_KEY: Final = 'store readers'


@final
@dataclass(slots=True)
class MemberState:
    """Latest known state of a VM.

    :ivar heard_ms: when any VM last heard from it, by this VM's monotonic
        clock.
    :ivar has_store: whether the VM could reach the store at that time.
    """

    data_centre: str
    heard_ms: float
    has_store: bool


@final
class Members:  # noqa: WPS214 -- many short methods on one table
    """Table of the other VMs and of when each was last heard from.

    VMs exchange ages instead of times or counters, which would need
    synchronized clocks or state that survives a restart.  The smallest age is
    the newest information, whichever VM it comes from.

    :ivar own: address of this VM.
    :ivar has_store: whether this VM can reach the store, as far as it knows.
    :ivar heard_elsewhere_ms: when any VM of another data centre was last
        heard from, ``-inf`` if none was.
    """

    def __init__(self, own: Address, data_centre: str) -> None:
        """Create a table that contains no other VM."""
        self.has_store = True
        self.own = own
        self._data_centre = data_centre
        self._members: dict[Address, MemberState] = {}
        self.heard_elsewhere_ms = float('-inf')

    def __len__(self) -> int:
        """Return the number of VMs that may exist, including this one."""
        return len(self._members) + 1

    def known(self) -> KeysView[Address]:
        """Return the other VMs whose state has not expired."""
        return self._members.keys()

    def record(
        self,
        vm: Address,
        data_centre: str,
        heard_ms: float,
        *,
        has_store: bool,
    ) -> bool:
        """Record the state of a VM; return whether the VM was unknown.

        A state older than the recorded one is ignored.
        """
        if vm == self.own:
            return False
        if data_centre != self._data_centre:
            self.heard_elsewhere_ms = max(self.heard_elsewhere_ms, heard_ms)
        member = self._members.get(vm)
        if member is None:
            self._members[vm] = MemberState(data_centre, heard_ms, has_store)
        elif heard_ms > member.heard_ms:
            member.heard_ms = heard_ms
            member.has_store = has_store
        return member is None

    def expire(self, now_ms: float) -> None:
        """Remove VMs that have not been heard from for the expiry time."""
        oldest_ms = now_ms - _EXPIRY_MS
        self._members = {
            vm: member
            for vm, member in self._members.items()
            if member.heard_ms > oldest_ms
        }

    def alive(self, now_ms: float) -> list[Address]:
        """List the other VMs that were heard from recently."""
        doublings = math.log2(max(1, len(self) / _SMALL_FLEET_VMS))
        oldest_ms = now_ms - _ALIVE_MS - doublings * _ROUND_MS
        return [
            vm for vm in self._members if self._is_heard_since(vm, oldest_ms)
        ]

    def same_data_centre(self, now_ms: float) -> list[Address]:
        """List the other VMs of this data centre that may be alive.

        Allows a longer silence than :meth:`alive`, so that all VMs of the data
        centre have the same list.  A listed VM may therefore be dead.
        """
        oldest_ms = now_ms - _DATA_CENTRE_MS
        return [
            vm
            for vm, member in self._members.items()
            if member.data_centre == self._data_centre
            and member.heard_ms >= oldest_ms
        ]

    def in_data_centre(self, data_centre: str) -> list[Address]:
        """List the VMs of a data centre that may exist, this one included.

        :returns: all VMs if the data centre has none.
        """
        vms = [
            vm
            for vm, member in self._members.items()
            if member.data_centre == data_centre
        ]
        if data_centre == self._data_centre:
            vms.append(self.own)
        return vms or [*self._members, self.own]

    def elsewhere(self) -> list[Address]:
        """List the VMs of other data centres, the last heard from first."""
        return sorted(
            (
                vm
                for vm, member in self._members.items()
                if member.data_centre != self._data_centre
            ),
            key=lambda vm: self._members[vm].heard_ms,
            reverse=True,
        )

    def choose_for_hello(
        self, now_ms: float, random: Random
    ) -> Iterator[tuple[Address, MemberState]]:
        """Choose the VMs whose state the next hello contains.

        The first VMs in the reader ranking are always included, so that all
        VMs soon notice when one of them stops responding.  Others are chosen
        at random.
        """
        first = [
            vm
            for vm in self._rank(now_ms)[:_RANKED_PER_HELLO]
            if vm in self._members
        ]
        others = [vm for vm in self._members if vm not in first]
        count = min(_RANDOM_PER_HELLO, len(others))
        for vm in (*first, *random.sample(others, count)):
            yield vm, self._members[vm]

    def is_reader(self, now_ms: float) -> bool:
        """Whether this VM is one of the readers of the store."""
        return self.own in self.readers(now_ms)

    def readers(self, now_ms: float) -> list[Address]:
        """List the readers of the store according to this VM's table.

        There are two, so that reading continues when one of them is lost, and
        they are in different data centres if there are several.
        """
        first, *others = self._rank(now_ms)
        elsewhere = [
            vm
            for vm in others
            if self._data_centre_of(vm) != self._data_centre_of(first)
        ]
        return [first, *(elsewhere or others)[:1]]

    def _rank(self, now_ms: float) -> list[Address]:
        """Rank the VMs that may read the store; all VMs get the same order."""
        alive = self.alive(now_ms)
        with_store = [vm for vm in alive if self._members[vm].has_store]
        if self.has_store:
            with_store.append(self.own)
        # If no VM can reach the store, the first in the ranking keep trying.
        candidates = with_store or [*alive, self.own]
        return [Address(vm) for vm in rank_vms(_READERS_KEY, candidates)]

    def _is_heard_since(self, vm: Address, since_ms: float) -> bool:
        return self._members[vm].heard_ms >= since_ms

    def _data_centre_of(self, vm: Address) -> str:
        member = self._members.get(vm)
        return self._data_centre if member is None else member.data_centre
