"""Leases: shares of a limit that one VM lends to another for a time."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, final

from ..model.ids import VmId

__all__ = ('LEASE_MS', 'BorrowedLeases', 'Lease', 'Loans')

#: Short, so that the share of a crashed borrower soon becomes free.
LEASE_MS: Final = 2000
#: A lease is renewed when its remaining time falls below this.
_RENEWAL_MS: Final = LEASE_MS / 2


@final
@dataclass(frozen=True, slots=True)
class Lease:
    """A share of a limit that is lent until a fixed time.

    :ivar amount: amount in the unit of the limit.
    :ivar until_ms: time at which the lease ends. The borrower counts from
        when it sent the request, the lender from when it granted it, so the
        lease ends at the borrower first.
    """

    amount: float
    until_ms: float

    def amount_at(self, now_ms: float) -> float:
        """Return the amount, or 0 once the lease has ended."""
        return self.amount if now_ms < self.until_ms else 0

    def needs_renewal(self, needed: float, now_ms: float) -> bool:
        """Whether the lease is smaller than needed or about to end."""
        if now_ms >= self.until_ms - _RENEWAL_MS:
            return needed > 0
        return needed > self.amount


_NO_LEASE: Final = Lease(0, float('-inf'))


@final
class Loans:
    """Shares that a lender has lent to other VMs.

    All loans to a borrower count until they end, because the borrower may not
    have received the grant of a later, smaller one.
    """

    def __init__(self) -> None:
        """Create an empty set of loans."""
        self._loans: dict[VmId, list[Lease]] = {}

    def total(self, now_ms: float) -> float:
        """Return the total that borrowers may still hold."""
        if not self._loans:
            return 0
        return sum(self.held_by(vm, now_ms) for vm in tuple(self._loans))

    def held_by(self, vm: VmId, now_ms: float) -> float:
        """Return the largest amount that one borrower may still hold."""
        loans = self._loans.get(vm, [])
        running = [loan for loan in loans if loan.amount_at(now_ms)]
        if running:
            self._loans[vm] = running
        else:
            self._loans.pop(vm, None)
        return max((loan.amount for loan in running), default=0)

    def lend(
        self, vm: VmId, wanted: float, free: float, now_ms: float
    ) -> float:
        """Lend or renew up to the wanted amount.

        :param free: amount that the lender neither needs nor has lent.
        :returns: the amount lent, 0 for a refusal.
        """
        available = self.held_by(vm, now_ms) + max(0, free)
        amount = min(wanted, available)
        if amount > 0:
            loan = Lease(amount, now_ms + LEASE_MS)
            self._loans.setdefault(vm, []).append(loan)
        return max(0, amount)


@final
class BorrowedLeases:
    """Leases that a borrower holds, the latest of each lender."""

    def __init__(self) -> None:
        """Create an empty set of leases."""
        self._leases: dict[VmId, Lease] = {}

    def __iter__(self) -> Iterator[tuple[VmId, Lease]]:
        """Iterate over pairs of a lender and its lease."""
        return iter(self._leases.items())

    def total(self, now_ms: float) -> float:
        """Return the sum of all leases that have not ended."""
        if not self._leases:
            return 0
        return sum(lease.amount_at(now_ms) for lease in self._leases.values())

    def lease_from(self, lender: VmId) -> Lease:
        """Return the latest lease from a lender, an empty one if none."""
        return self._leases.get(lender, _NO_LEASE)

    def add(self, lender: VmId, lease: Lease) -> None:
        """Store a lease unless it ends no later than the known one."""
        if lease.until_ms > self.lease_from(lender).until_ms:
            self._leases[lender] = lease
