"""Limits on the retries and hedges that all VMs together may send."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice, repeat
from typing import Final, final

from ..catalog.routes import ServiceId
from ..model.ids import VmId
from .budget_loans import LENT_FRACTION, Loan, Loans

__all__ = ('FleetRetryBudgets', 'RetryBudgetLimits')

#: Fraction of this VM's share that may be spent.  The rest covers requests
#: that the servers count slightly later than this VM does.
_USABLE_FRACTION: Final = 0.85
#: Fraction of a window's extra attempts that may be spent within half of the
#: window, so that one burst of failures does not use up the whole budget.
_BURST_FRACTION: Final = 0.7
#: Bins that a window is divided into for counting.
_BINS_PER_WINDOW: Final = 10
_MS_PER_S: Final = 1000.0


@final
@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Limits on the extra attempts of the whole fleet for one service.

    An extra attempt is a retry or a hedge: any attempt after the first one of
    a request.

    :ivar ratio: extra attempts allowed for each request.
    :ivar slack: further extra attempts allowed in any window.
    :ivar window_s: length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@final
class _SlidingCounter:
    """Sliding-window counter made of bins.

    :ivar bins: counts per bin, newest first.
    :ivar total: sum of all bins.
    """

    __slots__ = ('bins', 'total')

    def __init__(self, bin_count: int) -> None:
        self.bins = deque(repeat(0, bin_count), bin_count)
        self.total = 0

    def increment(self) -> None:
        """Add one to the newest bin."""
        self.bins[0] += 1
        self.total += 1

    def advance(self) -> None:
        """Start a new bin and drop the oldest one."""
        self.total -= self.bins[-1]
        self.bins.appendleft(0)


@final
class _ServiceUsage:
    """Requests and extra attempts of one service in the last window.

    Extra attempts are kept for one bin more than a window, because the newest
    bin is still incomplete.

    :ivar bin_number: number of the newest bin, counted from clock time 0.
    """

    __slots__ = ('bin_number', 'extras', 'requests')

    def __init__(self, bin_number: int) -> None:
        self.bin_number = bin_number
        self.requests = _SlidingCounter(_BINS_PER_WINDOW)
        self.extras = _SlidingCounter(_BINS_PER_WINDOW + 1)

    def advance_to(self, bin_number: int) -> None:
        """Drop the bins that have left the window."""
        for _ in range(min(bin_number - self.bin_number, _BINS_PER_WINDOW + 1)):
            self.requests.advance()
            self.extras.advance()
        self.bin_number = bin_number


@final
class FleetRetryBudgets:  # noqa: WPS214 -- many short methods on one table
    """This VM's share of the fleet's retry budget for each service.

    The shares of all VMs never exceed the whole budget, even in a network
    partition: a VM that cannot be reached counts as a holder of a share until
    its state expires, and a VM does not spend what it has lent.
    """

    def __init__(
        self,
        limits: RetryBudgetLimits,
        vm_count: Callable[[], int],
        loans: Loans | None = None,
    ) -> None:
        """Create budgets of which nothing is spent.

        :param vm_count: returns the number of VMs that may send, including
            those that are dead or unreachable.
        :param loans: budget lent to and borrowed from other VMs.
        """
        self._loans = loans or Loans()
        self._limits = limits
        self._vm_count = vm_count
        self._usage: dict[ServiceId, _ServiceUsage] = {}

    def apply_limits(self, limits: RetryBudgetLimits) -> None:
        """Apply changed limits; a new window length resets the counts."""
        if limits.window_s != self._limits.window_s:
            self._usage.clear()
        self._limits = limits

    def count_request(self, service: ServiceId, now_ms: float) -> None:
        """Count a request to a service."""
        self._usage_of(service, now_ms).requests.increment()

    def try_spend(self, service: ServiceId, now_ms: float) -> bool:
        """Spend one extra attempt; return whether the budget allowed it.

        A refusal makes this VM request loans from other VMs.
        """
        usage = self._usage_of(service, now_ms)
        if self._remaining(usage, now_ms) < 1:
            self._loans.record_shortage(now_ms)
            return False
        usage.extras.increment()
        return True

    def remaining(self, service: ServiceId, now_ms: float) -> float:
        """Return how many extra attempts may be started now."""
        return self._remaining(self._usage_of(service, now_ms), now_ms)

    def lend(
        self, borrower: VmId, asked_ms: float, now_ms: float
    ) -> Loan | None:
        """Lend part of the share unless this VM has spent some of that part.

        :param asked_ms: time of the request by the borrower's clock.
        :param now_ms: current time by this VM's clock.
        :returns: ``None`` if nothing is lent.
        """
        kept = self._share() * (1 - LENT_FRACTION) * _USABLE_FRACTION
        for service in self._usage:
            if self._usage_of(service, now_ms).extras.total > kept:
                return None
        window_ms = self._limits.window_s * _MS_PER_S
        return self._loans.lend(borrower, asked_ms, now_ms, window_ms)

    def _remaining(self, usage: _ServiceUsage, now_ms: float) -> float:
        # Requests are counted over slightly less than a window and extra
        # attempts over slightly more, so the result is never too high.
        share = self._share() * self._loans.share_factor(now_ms)
        earned = self._limits.ratio * usage.requests.total
        budget = (share + earned) * _USABLE_FRACTION
        if not usage.extras.total:
            return budget
        burst = max(1, budget * _BURST_FRACTION)
        recent = sum(islice(usage.extras.bins, _BINS_PER_WINDOW // 2))
        return min(budget - usage.extras.total, burst - recent)

    def _share(self) -> float:
        return self._limits.slack / max(1, self._vm_count())

    def _usage_of(self, service: ServiceId, now_ms: float) -> _ServiceUsage:
        bin_ms = self._limits.window_s * _MS_PER_S / _BINS_PER_WINDOW
        bin_number = int(now_ms / bin_ms)
        usage = self._usage.get(service)
        if usage is None:
            usage = _ServiceUsage(bin_number)
            self._usage[service] = usage
        elif bin_number > usage.bin_number:
            usage.advance_to(bin_number)
        return usage
