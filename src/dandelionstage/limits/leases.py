"""Shares of a limit that one VM lends to another for a short time."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, final

from ..model.ids import VmId

__all__ = ('LEASE_MS', 'Borrowed', 'Lease', 'Loans')

#: Short, so that a lost borrower keeps nothing for long.
LEASE_MS: Final = 2000


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

    def worth(self, now_ms: float) -> float:
        """Return the amount until the lease ends, then nothing."""
        return self.amount if now_ms < self.until_ms else 0


_NOTHING: Final = Lease(0, float('-inf'))


@final
class Loans:
    """What a lender has given away.

    A loan is never made smaller before it ends, so a lost or late grant
    leaves the borrower with no more than the lender has deducted.
    """

    def __init__(self) -> None:
        """Start with nothing lent."""
        self._loans: dict[VmId, Lease] = {}

    def lent(self, now_ms: float) -> float:
        """Sum up all loans that have not ended."""
        self._loans = {
            vm: loan for vm, loan in self._loans.items() if loan.worth(now_ms)
        }
        return sum(loan.amount for loan in self._loans.values())

    def lend(
        self, vm: VmId, wanted: float, free: float, now_ms: float
    ) -> float:
        """Lend or renew what is free; return the amount, 0 for a refusal.

        :param free: what the lender can spare besides all its loans.
        """
        held = self._loans.get(vm, _NOTHING).worth(now_ms)
        amount = min(wanted, held + free)
        if amount <= 0 or amount < held:
            return 0
        self._loans[vm] = Lease(amount, now_ms + LEASE_MS)
        return amount


@final
class Borrowed:
    """What a borrower holds of others."""

    def __init__(self) -> None:
        """Start with nothing borrowed."""
        self._leases: dict[VmId, Lease] = {}

    def __iter__(self) -> Iterator[tuple[VmId, Lease]]:
        """List the leases by lender."""
        return iter(self._leases.items())

    def total(self, now_ms: float) -> float:
        """Sum up all leases that have not ended."""
        return sum(lease.worth(now_ms) for lease in self._leases.values())

    def of(self, lender: VmId) -> Lease:
        """Return the latest lease of one lender."""
        return self._leases.get(lender, _NOTHING)

    def add(self, lender: VmId, lease: Lease) -> None:
        """Take over a lease; one that came late changes nothing."""
        if lease.until_ms > self.of(lender).until_ms:
            self._leases[lender] = lease
