"""Counts a customer's work against the rate that a VM may admit."""

import math
from typing import Final, final

from .quota_account import QuotaAccount

__all__ = ('QuotaMeter',)

_MS_PER_S: Final = 1000
#: Time over which unused quota is saved up.
_SAVED_MS: Final = 1000
#: Time over which demand is averaged.
_DEMAND_MS: Final = 1000
#: Borrowed in advance for demand that grows.
_DEMAND_MARGIN: Final = 1.2
_LEAST_PER_S: Final = 0.01


@final
class QuotaMeter:
    """A token bucket whose rate changes with what is lent and borrowed.

    A query is admitted while the bucket is not overdrawn and may overdraw
    it, as one that touches many shards costs more than a small VM saves up;
    what is overdrawn is earned first.
    """

    def __init__(self, account: QuotaAccount, now_ms: float) -> None:
        """Start empty, so that a restart earns nothing.

        Everything that changes the account is preceded by ``earn``.
        """
        self._account = account
        self._tokens: float = 0
        self._earned_ms = now_ms
        self._unlent_per_s: float = 0
        self._demand: float = 0

    def refill(self, now_ms: float) -> None:
        """Add what the rate has earned since the last call."""
        passed_ms = max(0, now_ms - self._earned_ms)
        # A part that comes back as its loan ends counts from now on only.
        held_per_s = self._account.static_per_s + self._unlent_per_s
        earned = held_per_s * passed_ms + self._earn_borrowed(now_ms)
        saved = self._account.rate_per_s(now_ms) * _SAVED_MS
        self._tokens = min(
            self._tokens + earned / _MS_PER_S,
            max(saved / _MS_PER_S, self._tokens),
        )
        self._earned_ms = now_ms
        self._unlent_per_s = self._account.unlent_per_s(now_ms)
        self._demand *= math.exp(-passed_ms / _DEMAND_MS)
        demand_per_s = self._demand * _MS_PER_S / _DEMAND_MS
        self._account.demand_per_s = demand_per_s * _DEMAND_MARGIN

    def take(self, cost: float, now_ms: float) -> float:
        """Admit work and return 0, or return the time until it may come.

        :returns: milliseconds.
        """
        self._demand += cost
        self.refill(now_ms)
        if self._tokens < 0:
            rate_per_s = max(self._account.rate_per_s(now_ms), _LEAST_PER_S)
            return -self._tokens * _MS_PER_S / rate_per_s
        self._tokens -= cost
        return 0

    def _earn_borrowed(self, now_ms: float) -> float:
        earned: float = 0
        for _lender, lease in self._account.borrowed:
            leased_ms = min(now_ms, lease.until_ms) - self._earned_ms
            earned += lease.amount * max(0, leased_ms)
        return earned
