"""One VM's share of a customer's quota."""

from typing import final

from ..model.ids import VmId
from .leases import BorrowedLeases, Loans
from .own_share import OwnShare

__all__ = ('QuotaAccount',)


@final
class QuotaAccount:
    """Tracks the own, lent and borrowed quota of a VM for one customer.

    All amounts are in sub-requests per second. A quota consists of static
    shares and of a pool, which a few VMs, the lenders, hold and lend.

    :ivar static_per_s: static share, usable without contact to other VMs.
    :ivar demand_per_s: quota that the callers at this VM need.
    :ivar own: this VM's share of the pool, zero unless it is a lender.
    :ivar loans: parts of the own share lent to other VMs.
    :ivar borrowed: leases from the other lenders of the pool.
    """

    def __init__(self) -> None:
        """Create an account without any quota."""
        self.static_per_s: float = 0
        self.demand_per_s: float = 0
        self.own = OwnShare()
        self.loans = Loans()
        self.borrowed = BorrowedLeases()

    def unlent_per_s(self, now_ms: float) -> float:
        """Return the part of the own share that is not lent, at least 0."""
        unlent = self.own.amount(now_ms) - self.loans.total(now_ms)
        return max(0, unlent)

    def rate_per_s(self, now_ms: float) -> float:
        """Return the sub-requests per second that this VM may admit."""
        held_per_s = self.static_per_s + self.unlent_per_s(now_ms)
        return held_per_s + self.borrowed.total(now_ms)

    def amount_to_borrow(
        self, lender: VmId, demand: float, now_ms: float
    ) -> float:
        """Return the amount to request from a lender, 0 for none.

        Every lender is asked for an equal part of the missing quota.
        """
        missing_per_s = demand - self.rate_per_s(now_ms)
        lease = self.borrowed.lease_from(lender)
        part_per_s = lease.amount_at(now_ms)
        part_per_s += missing_per_s / len(self.own.published.lenders)
        return part_per_s if lease.needs_renewal(part_per_s, now_ms) else 0

    def lend(self, vm: VmId, wanted: float, now_ms: float) -> float:
        """Lend quota that the callers at this VM do not need."""
        if vm not in self.own.published.possible_holders:
            return 0
        needed = max(0, self.demand_per_s - self.static_per_s)
        free = self.unlent_per_s(now_ms) - needed
        return self.loans.lend(vm, wanted, free, now_ms)

    def holds_nothing_of(self, vm: VmId, now_ms: float) -> bool:
        """Whether this VM uses no part of another VM's share."""
        overdrawn = self.loans.total(now_ms) > self.own.amount(now_ms)
        return not overdrawn and not self.borrowed.lease_from(vm).amount_at(
            now_ms
        )
