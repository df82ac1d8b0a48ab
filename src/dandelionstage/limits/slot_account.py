"""The slots of one backend server that this VM may use."""

from typing import Final, final

from ..model.ids import VmId
from .leases import BorrowedLeases, Loans
from .own_share import OwnShare
from .slot_use import SlotHold, SlotUse

__all__ = ('SlotAccount',)
#: An own slot need not be given back.
_NO_END_MS: Final = float('inf')


@final
class SlotAccount:
    """Own slots, those lent and those borrowed, and their use.

    What is in use never exceeds the own slots that are not lent, nor, for
    each lender, the slots borrowed from it.

    :ivar own: this VM's share by the published list.
    :ivar loans: own slots lent to others.
    :ivar borrowed: slots lent by others.
    :ivar use: slots taken, own and borrowed.
    """

    def __init__(self) -> None:
        """Start without slots."""
        self.own = OwnShare()
        self.loans = Loans()
        self.borrowed = BorrowedLeases()
        self.use = SlotUse()

    def unlent(self, now_ms: float) -> int:
        """Count the own slots that are not lent; below 0 after a loss."""
        return int(self.own.amount(now_ms) - self.loans.total(now_ms))

    def capacity(self, now_ms: float) -> int:
        """Count the slots that may be in use."""
        unlent = max(0, self.unlent(now_ms))
        return unlent + int(self.borrowed.total(now_ms))

    def find_slot(self, shortest_ms: float, now_ms: float) -> SlotHold | None:
        """Find a free slot, an own one first, ``None`` if there is none.

        A borrowed slot must be given back when its lease ends.

        :param shortest_ms: a lease that ends sooner is of no use.
        """
        if self.use.count(None, now_ms) < self.unlent(now_ms):
            return SlotHold(None, _NO_END_MS)
        for lender, lease in self.borrowed:
            spare = lease.amount - self.use.count(lender, now_ms)
            left_ms = lease.until_ms - now_ms
            if spare > 0 and left_ms >= shortest_ms:
                return SlotHold(lender, lease.until_ms)
        return None

    def amount_to_borrow(
        self, lender: VmId, demand: float, now_ms: float
    ) -> float:
        """Say what to borrow or renew from a lender, 0 for nothing."""
        lease = self.borrowed.lease_from(lender)
        held = lease.amount_at(now_ms)
        others = self.borrowed.total(now_ms) - held
        missing = max(0, demand - self.unlent(now_ms) - others)
        return missing if lease.needs_renewal(missing, now_ms) else 0

    def lend(self, vm: VmId, wanted: float, now_ms: float) -> float:
        """Lend own slots that are free; return how many."""
        if vm not in self.own.published.possible_holders:
            return 0
        free = self.unlent(now_ms) - self.use.count(None, now_ms)
        return self.loans.lend(vm, wanted, free, now_ms)

    def holds_nothing_of(self, vm: VmId, now_ms: float) -> bool:
        """Say whether nothing of another VM's share is held here.

        That VM may have restarted and know nothing of what it lent.
        """
        overdrawn = self.use.count(None, now_ms) > self.unlent(now_ms)
        return not overdrawn and not self.borrowed.lease_from(vm).amount_at(
            now_ms
        )
