"""Slots of one backend server that this VM may use."""

from typing import Final, final

from ..model.ids import VmId
from .leases import BorrowedLeases, Loans
from .own_share import OwnShare
from .slot_use import SlotHold, SlotUse

__all__ = ('SlotAccount',)

#: An own slot may be used without a time limit.
_NO_END_MS: Final = float('inf')


@final
class SlotAccount:
    """Tracks the own, lent and borrowed slots of one server, and their use.

    The own slots in use never exceed those that are not lent, and the slots
    in use of a lender never exceed those borrowed from it.

    :ivar own: this VM's share by the published list of VMs.
    :ivar loans: own slots lent to other VMs.
    :ivar borrowed: leases of slots from other VMs.
    :ivar use: slots in use, own and borrowed.
    """

    def __init__(self) -> None:
        """Create an account without slots."""
        self.own = OwnShare()
        self.loans = Loans()
        self.borrowed = BorrowedLeases()
        self.use = SlotUse()

    def unlent(self, now_ms: float) -> int:
        """Return the own slots not lent, negative after the share shrank."""
        return int(self.own.amount(now_ms) - self.loans.total(now_ms))

    def capacity(self, now_ms: float) -> int:
        """Return how many slots may be in use."""
        unlent = max(0, self.unlent(now_ms))
        return unlent + int(self.borrowed.total(now_ms))

    def find_slot(self, shortest_ms: float, now_ms: float) -> SlotHold | None:
        """Find a free slot, own slots first; return ``None`` if none is free.

        A borrowed slot must be returned when its lease ends.

        :param shortest_ms: shortest remaining time of a usable lease.
        """
        if self.use.count(None, now_ms) < self.unlent(now_ms):
            return SlotHold(None, _NO_END_MS)
        for lender, lease in self.borrowed:
            free = lease.amount - self.use.count(lender, now_ms)
            remaining_ms = lease.until_ms - now_ms
            if free > 0 and remaining_ms >= shortest_ms:
                return SlotHold(lender, lease.until_ms)
        return None

    def amount_to_borrow(
        self, lender: VmId, demand: float, now_ms: float
    ) -> float:
        """Return the number of slots to request from a lender, 0 for none."""
        lease = self.borrowed.lease_from(lender)
        held = lease.amount_at(now_ms)
        others = self.borrowed.total(now_ms) - held
        missing = max(0, demand - self.unlent(now_ms) - others)
        return missing if lease.needs_renewal(missing, now_ms) else 0

    def lend(self, vm: VmId, wanted: float, now_ms: float) -> float:
        """Lend free own slots and return how many are lent."""
        if vm not in self.own.published.possible_holders:
            return 0
        free = self.unlent(now_ms) - self.use.count(None, now_ms)
        return self.loans.lend(vm, wanted, free, now_ms)

    def holds_nothing_of(self, vm: VmId, now_ms: float) -> bool:
        """Whether this VM uses no part of another VM's share.

        A lease from that VM counts, because the VM may have restarted and
        lost the record of its loans.
        """
        overdrawn = self.use.count(None, now_ms) > self.unlent(now_ms)
        return not overdrawn and not self.borrowed.lease_from(vm).amount_at(
            now_ms
        )
