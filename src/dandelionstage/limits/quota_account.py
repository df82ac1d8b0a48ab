"""One VM's part of a customer's quota."""

from typing import final

from ..model.ids import VmId
from .leases import BorrowedLeases, Loans
from .own_share import OwnShare

__all__ = ('QuotaAccount',)


@final
class QuotaAccount:
    """Work per second of this VM's own, lent and borrowed.

    :ivar static_per_s: this VM's without asking anyone.
    :ivar wanted_per_s: what its callers ask for.
    :ivar own: its part of the pool, as a steward.
    :ivar loans: parts of it lent to others.
    :ivar borrowed: parts lent by other stewards.
    """

    def __init__(self) -> None:
        """Start without a quota."""
        self.static_per_s: float = 0
        self.demand_per_s: float = 0
        self.own = OwnShare()
        self.loans = Loans()
        self.borrowed = BorrowedLeases()

    def unlent_per_s(self, now_ms: float) -> float:
        """Return the own part of the pool that is not lent."""
        unlent = self.own.amount(now_ms) - self.loans.total(now_ms)
        return max(0, unlent)

    def rate_per_s(self, now_ms: float) -> float:
        """Return the work per second that may be admitted."""
        held_per_s = self.static_per_s + self.unlent_per_s(now_ms)
        return held_per_s + self.borrowed.total(now_ms)

    def amount_to_borrow(
        self, lender: VmId, demand: float, now_ms: float
    ) -> float:
        """Say what to borrow or renew from a steward, 0 for nothing.

        All stewards are asked for the same part of what is missing.
        """
        gap_per_s = demand - self.rate_per_s(now_ms)
        lease = self.borrowed.lease_from(lender)
        part_per_s = lease.amount_at(now_ms)
        part_per_s += gap_per_s / len(self.own.published.lenders)
        return part_per_s if lease.needs_renewal(part_per_s, now_ms) else 0

    def lend(self, vm: VmId, wanted: float, now_ms: float) -> float:
        """Lend what this VM's own callers leave; return how much."""
        if vm not in self.own.published.possible_holders:
            return 0
        needed = max(0, self.demand_per_s - self.static_per_s)
        free = self.unlent_per_s(now_ms) - needed
        return self.loans.lend(vm, wanted, free, now_ms)

    def holds_nothing_of(self, vm: VmId, now_ms: float) -> bool:
        """Say whether nothing of another VM's share is held here."""
        overdrawn = self.loans.total(now_ms) > self.own.amount(now_ms)
        return not overdrawn and not self.borrowed.lease_from(vm).amount_at(
            now_ms
        )
