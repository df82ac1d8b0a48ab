"""Loans of retry budget between VMs."""

from dataclasses import dataclass
from typing import Final, final

import msgspec

from ..model.ids import VmId

__all__ = ('LENT_FRACTION', 'Loan', 'Loans')

#: Fraction of its share that a VM lends, to one borrower at a time.
LENT_FRACTION: Final = 0.5
#: Duration of a loan in milliseconds, unless it is renewed.
_LOAN_MS: Final = 8000.0
#: A loan may be renewed once its remaining time is this short.
_RENEWAL_MS: Final = 4000.0
#: How long a VM requests loans after its own retry budget refused an extra
#: attempt.
_SHORTAGE_MS: Final = 3000.0


@final
class Loan(msgspec.Struct, array_like=True, frozen=True):
    """Part of a VM's share of the retry budget that another VM may spend.

    :ivar fraction: fraction of the lender's whole share.
    :ivar until_ms: end of the loan by the borrower's clock.
    """

    fraction: float
    until_ms: float


@final
@dataclass(frozen=True, slots=True)
class _LentLoan:
    """Loan granted to another VM.

    :ivar valid_until_ms: end of the loan.
    :ivar blocked_until_ms: until then the lender does not spend this part.
    """

    borrower: VmId
    valid_until_ms: float
    blocked_until_ms: float


@final
class Loans:  # noqa: WPS214 -- many short methods on one record
    """Retry budget that this VM has borrowed and lent.

    A lender does not spend the lent part until the loan has certainly ended
    and a whole window has passed after it, so the VMs together never spend
    more than the sum of their shares.  A loan ends by the borrower's own
    clock, counted from the time of its request, so a loan that arrives late
    is shorter by the delay.
    """

    def __init__(self) -> None:
        """Create a record without loans."""
        self._lent: _LentLoan | None = None
        self._borrowed: dict[VmId, Loan] = {}
        self._shortage_ms = float('-inf')

    def record_shortage(self, now_ms: float) -> None:
        """Record that the budget refused an extra attempt."""
        self._shortage_ms = now_ms

    def should_borrow(self, now_ms: float) -> bool:
        """Whether this VM should request loans from others."""
        return now_ms - self._shortage_ms < _SHORTAGE_MS

    def lend(
        self, borrower: VmId, asked_ms: float, now_ms: float, window_ms: float
    ) -> Loan | None:
        """Grant a loan, or renew the one of the same borrower.

        :param asked_ms: time of the request by the borrower's clock.
        :param now_ms: current time by this VM's clock.
        :param window_ms: length of the budget's window.
        :returns: ``None`` if this VM needs its budget itself, or if it has
            lent to another VM or renewed this loan too recently.
        """
        if self.should_borrow(now_ms) or not self._may_lend(borrower, now_ms):
            return None
        valid_until_ms = now_ms + _LOAN_MS
        self._lent = _LentLoan(
            borrower, valid_until_ms, valid_until_ms + window_ms
        )
        return Loan(LENT_FRACTION, asked_ms + _LOAN_MS)

    def accept(self, lender: VmId, loan: Loan) -> None:
        """Store a received loan, replacing one that ends earlier."""
        known = self._borrowed.get(lender)
        if known is None or loan.until_ms > known.until_ms:
            self._borrowed[lender] = loan

    def share_factor(self, now_ms: float) -> float:
        """Return how many shares this VM may spend; 1 without any loans."""
        is_lent = (
            self._lent is not None and now_ms < self._lent.blocked_until_ms
        )
        factor = 1 - is_lent * LENT_FRACTION
        return factor + self._borrowed_sum(now_ms) if self._borrowed else factor

    def _borrowed_sum(self, now_ms: float) -> float:
        """Drop expired loans and return the sum of the other fractions."""
        for lender, loan in tuple(self._borrowed.items()):
            if now_ms >= loan.until_ms:
                self._borrowed.pop(lender)
        return sum(active.fraction for active in self._borrowed.values())

    def _may_lend(self, borrower: VmId, now_ms: float) -> bool:
        lent = self._lent
        if lent is None or now_ms >= lent.blocked_until_ms:
            return True
        remaining_ms = lent.valid_until_ms - now_ms
        return lent.borrower == borrower and remaining_ms <= _RENEWAL_MS
