"""Shares of a limit that one VM lends to another for a short time."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, final

from ..model.ids import VmId

__all__ = ('LEASE_MS', 'BorrowedLeases', 'Lease', 'Loans')

#: Short, so that a lost borrower keeps nothing for long.
LEASE_MS: Final = 2000
#: A lease is renewed once it has less than this left.
_RENEW_MS: Final = LEASE_MS / 2


@final
@dataclass(frozen=True, slots=True)
class Lease:
    """A share that is lent until a time.

    :ivar amount: in the limit's own unit.
    :ivar until_ms: the borrower counts it from when it sent its request,
        the lender from when it granted, so the borrower stops first.
    """

    amount: float
    until_ms: float

    def amount_at(self, now_ms: float) -> float:
        """Return the amount until the lease ends, then nothing."""
        return self.amount if now_ms < self.until_ms else 0

    def needs_renewal(self, needed: float, now_ms: float) -> bool:
        """Say whether it is to be renewed, as it is too small or old."""
        if now_ms >= self.until_ms - _RENEW_MS:
            return needed > 0
        return needed > self.amount


_NOTHING: Final = Lease(0, float('-inf'))


@final
class Loans:
    """What a lender has given away.

    A borrower's earlier loans are deducted until they end, as it may not
    have heard of a later, smaller one.
    """

    def __init__(self) -> None:
        """Start with nothing lent."""
        self._loans: dict[VmId, list[Lease]] = {}

    def total(self, now_ms: float) -> float:
        """Sum up what others may still hold."""
        if not self._loans:
            return 0
        return sum(self.held_by(vm, now_ms) for vm in tuple(self._loans))

    def held_by(self, vm: VmId, now_ms: float) -> float:
        """Return the most that one borrower may still hold."""
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
        """Lend or renew what is free; return the amount, 0 for a refusal.

        :param free: what the lender can spare besides all its loans.
        """
        most = self.held_by(vm, now_ms) + max(0, free)
        amount = min(wanted, most)
        if amount > 0:
            loan = Lease(amount, now_ms + LEASE_MS)
            self._loans.setdefault(vm, []).append(loan)
        return max(0, amount)


@final
class BorrowedLeases:
    """What a borrower holds of others."""

    def __init__(self) -> None:
        """Start with nothing borrowed."""
        self._leases: dict[VmId, Lease] = {}

    def __iter__(self) -> Iterator[tuple[VmId, Lease]]:
        """List the leases by lender."""
        return iter(self._leases.items())

    def total(self, now_ms: float) -> float:
        """Sum up all leases that have not ended."""
        if not self._leases:
            return 0
        return sum(lease.amount_at(now_ms) for lease in self._leases.values())

    def lease_from(self, lender: VmId) -> Lease:
        """Return the latest lease of one lender."""
        return self._leases.get(lender, _NOTHING)

    def add(self, lender: VmId, lease: Lease) -> None:
        """Take over a lease; one that came late changes nothing."""
        if lease.until_ms > self.lease_from(lender).until_ms:
            self._leases[lender] = lease
