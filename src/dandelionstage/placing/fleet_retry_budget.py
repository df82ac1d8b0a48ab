"""Bounds extra attempts of all VMs together."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice, repeat
from typing import Final, final

from ..catalog.routes import ServiceId
from ..model.ids import VmId
from .budget_loans import LENT_FRACTION, Loan, Loans

__all__ = ('RetryBudgetLimits', 'FleetRetryBudgets')

#: Part of this VM's share that is used; the rest covers requests that are
#: counted a little later at the servers than here.
_USED_FRACTION: Final = 0.85
#: Part of a window's extra attempts that may be spent within half of it, so
#: that one burst of trouble does not leave the rest of the window without.
_AT_ONCE_FRACTION: Final = 0.7
#: A window is counted in so many bins.
_BINS: Final = 10
_MS_PER_S: Final = 1000.0


@final
@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """What the whole fleet may send beyond the first attempts.

    :ivar ratio: extra attempts for each request.
    :ivar slack: extra attempts in any window besides.
    """

    ratio: float
    slack: float
    window_s: float


@final
class _Count:
    """Counts in bins, the newest first, and their sum."""

    __slots__ = ('bins', 'total')

    def __init__(self, bin_count: int) -> None:
        self.bins = deque(repeat(0, bin_count), bin_count)
        self.total = 0

    def add(self) -> None:
        """Count one in the newest bin."""
        self.bins[0] += 1
        self.total += 1

    def move(self) -> None:
        """Begin a bin and drop the oldest."""
        self.total -= self.bins[-1]
        self.bins.appendleft(0)


@final
class _Account:
    """Requests for one service and extra attempts at it.

    Of the latter one bin more than a window is kept: the newest is not yet
    full.
    """

    __slots__ = ('bin_number', 'extras', 'requests')

    def __init__(self, bin_number: int) -> None:
        self.bin_number = bin_number
        self.requests = _Count(_BINS)
        self.extras = _Count(_BINS + 1)

    def move_to(self, bin_number: int) -> None:
        """Drop the bins that are too old."""
        for _ in range(min(bin_number - self.bin_number, _BINS + 1)):
            self.requests.move()
            self.extras.move()
        self.bin_number = bin_number


@final
class FleetRetryBudgets:  # noqa: WPS214 -- one account book, short methods
    """Counts each service's requests and extra attempts in the last window.

    Shares sum up to less than the whole however the VMs are cut off from
    each other, because every VM that was ever known counts, and because what
    one borrows the lender does without.
    """

    def __init__(
        self,
        terms: RetryBudgetLimits,
        vm_count: Callable[[], int],
        loans: Loans | None = None,
    ) -> None:
        """Start with nothing spent.

        :param vm_count: VMs that may send, dead or cut off ones included.
        :param loans: shares lent by other VMs and to them.
        """
        self._loans = loans or Loans()
        self._terms = terms
        self._vm_count = vm_count
        self._accounts: dict[ServiceId, _Account] = {}

    def set_limits(self, terms: RetryBudgetLimits) -> None:
        """Follow changed settings; counts start anew with another window."""
        if terms.window_s != self._terms.window_s:
            self._accounts.clear()
        self._terms = terms

    def count_request(self, service: ServiceId, now_ms: float) -> None:
        """Count a request for a service."""
        self._account(service, now_ms).requests.add()

    def try_spend(self, service: ServiceId, now_ms: float) -> bool:
        """Spend one extra attempt, if there is one."""
        account = self._account(service, now_ms)
        if self._left(account, now_ms) < 1:
            self._loans.need(now_ms)
            return False
        account.extras.add()
        return True

    def remaining(self, service: ServiceId, now_ms: float) -> float:
        """Tell how many extra attempts may be started now."""
        return self._left(self._account(service, now_ms), now_ms)

    def lend(
        self, borrower: VmId, asked_ms: float, now_ms: float
    ) -> Loan | None:
        """Lend a part of the share, unless some of that part is spent."""
        kept = self._share() * (1 - LENT_FRACTION) * _USED_FRACTION
        for service in self._accounts:
            if self._account(service, now_ms).extras.total > kept:
                return None
        window_ms = self._terms.window_s * _MS_PER_S
        return self._loans.lend(borrower, asked_ms, now_ms, window_ms)

    def _left(self, account: _Account, now_ms: float) -> float:
        # The bins of requests span less than a window and those of extra
        # attempts more, so neither is taken for better than it is.
        share = self._share() * self._loans.factor(now_ms)
        earned = self._terms.ratio * account.requests.total
        whole = (share + earned) * _USED_FRACTION
        if not account.extras.total:
            return whole
        at_once = max(1, whole * _AT_ONCE_FRACTION)
        lately = sum(islice(account.extras.bins, _BINS // 2))
        return min(whole - account.extras.total, at_once - lately)

    def _share(self) -> float:
        return self._terms.slack / max(1, self._vm_count())

    def _account(self, service: ServiceId, now_ms: float) -> _Account:
        bin_ms = self._terms.window_s * _MS_PER_S / _BINS
        bin_number = int(now_ms / bin_ms)
        account = self._accounts.get(service)
        if account is None:
            account = _Account(bin_number)
            self._accounts[service] = account
        elif bin_number > account.bin_number:
            account.move_to(bin_number)
        return account
