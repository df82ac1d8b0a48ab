"""Token bucket that meters a customer's work at one VM."""

import math
from typing import Final, final

from .quota_account import QuotaAccount

__all__ = ('QuotaMeter',)

_MS_PER_S: Final = 1000
#: Time for which unused quota accumulates in the bucket.
_BURST_MS: Final = 1000
#: Time constant of the moving average of demand.
_DEMAND_AVERAGE_MS: Final = 1000
#: Factor on the demand, so that quota is borrowed before demand grows.
_DEMAND_MARGIN: Final = 1.2
#: Lower bound of the rate from which a waiting time is computed.
_MIN_RATE_PER_S: Final = 0.01


@final
class QuotaMeter:
    """Token bucket whose rate follows the own, lent and borrowed quota.

    A query is admitted while the balance is not negative, and may make it
    negative: a query over many shards can cost more than a bucket of a small
    share holds. The next query waits until the balance is repaid.
    """

    def __init__(self, account: QuotaAccount, now_ms: float) -> None:
        """Create an empty bucket, so that a restart adds no quota.

        Call ``refill`` before each change of the account.
        """
        self._account = account
        self._tokens: float = 0
        self._refilled_ms = now_ms
        self._unlent_per_s: float = 0
        self._demand: float = 0

    def refill(self, now_ms: float) -> None:
        """Add the tokens accrued since the last call."""
        elapsed_ms = max(0, now_ms - self._refilled_ms)
        # Quota of a loan that has just ended counts only from now on.
        held_per_s = self._account.static_per_s + self._unlent_per_s
        accrued = held_per_s * elapsed_ms + self._accrue_borrowed(now_ms)
        burst = self._account.rate_per_s(now_ms) * _BURST_MS
        self._tokens = min(
            self._tokens + accrued / _MS_PER_S,
            max(burst / _MS_PER_S, self._tokens),
        )
        self._refilled_ms = now_ms
        self._unlent_per_s = self._account.unlent_per_s(now_ms)
        self._demand *= math.exp(-elapsed_ms / _DEMAND_AVERAGE_MS)
        demand_per_s = self._demand * _MS_PER_S / _DEMAND_AVERAGE_MS
        self._account.demand_per_s = demand_per_s * _DEMAND_MARGIN

    def take(self, cost: float, now_ms: float) -> float:
        """Admit work, or return the time until it may be admitted.

        :param cost: sub-requests.
        :returns: 0 if the work is admitted, else the waiting time in ms.
        """
        self._demand += cost
        self.refill(now_ms)
        if self._tokens < 0:
            rate_per_s = max(self._account.rate_per_s(now_ms), _MIN_RATE_PER_S)
            return -self._tokens * _MS_PER_S / rate_per_s
        self._tokens -= cost
        return 0

    def _accrue_borrowed(self, now_ms: float) -> float:
        accrued: float = 0
        for _lender, lease in self._account.borrowed:
            leased_ms = min(now_ms, lease.until_ms) - self._refilled_ms
            accrued += lease.amount * max(0, leased_ms)
        return accrued
