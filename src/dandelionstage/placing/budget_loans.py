"""Parts of the fleet's budget that VMs without use for them lend others."""

from dataclasses import dataclass
from typing import Final, final

import msgspec

from ..model.ids import VmId

__all__ = ('LENT_FRACTION', 'Loan', 'Loans')

#: Part of its share that a VM lends, to one other at a time.
LENT_FRACTION: Final = 0.5
#: How long a loan holds unless it is renewed.
_VALID_MS: Final = 8000.0
#: A loan is renewed when this much of it or less is left.
_RENEWED_MS: Final = 4000.0
#: A VM asks for loans for this long after it had to do without an attempt.
_NEED_MS: Final = 3000.0


@final
class Loan(msgspec.Struct, array_like=True, frozen=True):
    """A part of a VM's share that another may spend.

    :ivar fraction: of the lender's whole share.
    :ivar until_ms: by the borrower's clock.
    """

    fraction: float
    until_ms: float


@final
@dataclass(frozen=True, slots=True)
class _Lent:
    borrower: VmId
    valid_ms: float
    back_ms: float


@final
class Loans:  # noqa: WPS214 -- one account, short methods
    """Who lent how much to this VM, and what this VM lent.

    A lender does without what it lent until the loan is over for certain and
    a whole window besides, so VMs never spend more than their shares together.
    The end is told by the borrower's own clock, counted from when it asked:
    a loan that is late on its way is so much shorter.
    """

    def __init__(self) -> None:
        """Start with nothing lent or borrowed."""
        self._lent: _Lent | None = None
        self._borrowed: dict[VmId, Loan] = {}
        self._needed_ms = float('-inf')

    def need(self, now_ms: float) -> None:
        """Note that an extra attempt was refused."""
        self._needed_ms = now_ms

    def is_needed(self, now_ms: float) -> bool:
        """Whether to ask others for loans."""
        return now_ms - self._needed_ms < _NEED_MS

    def lend(
        self, borrower: VmId, asked_ms: float, now_ms: float, window_ms: float
    ) -> Loan | None:
        """Lend, or renew what was lent to the same VM.

        :param asked_ms: when the borrower asked, by its own clock.
        """
        if self.is_needed(now_ms) or not self._may_lend(borrower, now_ms):
            return None
        valid_ms = now_ms + _VALID_MS
        self._lent = _Lent(borrower, valid_ms, valid_ms + window_ms)
        return Loan(LENT_FRACTION, asked_ms + _VALID_MS)

    def accept(self, lender: VmId, loan: Loan) -> None:
        """Take a loan; a newer one of the same lender replaces it."""
        known = self._borrowed.get(lender)
        if known is None or loan.until_ms > known.until_ms:
            self._borrowed[lender] = loan

    def factor(self, now_ms: float) -> float:
        """Tell how many shares this VM may spend; its own is 1."""
        is_lent = self._lent is not None and now_ms < self._lent.back_ms
        factor = 1 - is_lent * LENT_FRACTION
        return factor + self._borrowed_now(now_ms) if self._borrowed else factor

    def _borrowed_now(self, now_ms: float) -> float:
        for lender, loan in tuple(self._borrowed.items()):
            if now_ms >= loan.until_ms:
                self._borrowed.pop(lender)
        return sum(held.fraction for held in self._borrowed.values())

    def _may_lend(self, borrower: VmId, now_ms: float) -> bool:
        lent = self._lent
        if lent is None or now_ms >= lent.back_ms:
            return True
        left_ms = lent.valid_ms - now_ms
        return lent.borrower == borrower and left_ms <= _RENEWED_MS
