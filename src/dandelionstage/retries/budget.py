"""Limits hedges and retries to a share of a customer's primary requests."""

from typing import Final, final

from ..model.contract import Contract
from ..model.ids import CustomerId

__all__ = ('BUCKET_PRIMARIES', 'RetryBudget', 'RetryBudgets')

#: Capacity of a bucket: the extra attempts that this many primary sub-requests
#: allow.
BUCKET_PRIMARIES: Final = 400


@final
class RetryBudget:
    """Token bucket that is filled by primary sub-requests, not by time.

    Even if every attempt fails, each primary sub-request allows only its
    fraction of an extra attempt, so retries cannot cause further retries.

    :param fraction: extra attempts allowed per primary sub-request.
    """

    def __init__(self, fraction: float) -> None:
        """Create a full bucket."""
        self._fraction = fraction
        self._tokens = self._limit

    @property
    def tokens(self) -> float:
        """Extra attempts that may be started now.

        Negative if ``charge`` has overdrawn the budget.
        """
        return self._tokens

    def update_fraction(self, fraction: float) -> None:
        """Apply a changed contract and drop tokens above the new limit."""
        self._fraction = fraction
        self._tokens = min(self._tokens, self._limit)

    def add_primaries(self, primaries: int) -> None:
        """Add the tokens for a number of primary sub-requests."""
        earned = self._tokens + primaries * self._fraction
        self._tokens = min(earned, self._limit)

    def take(self) -> bool:
        """Take one token for an extra attempt; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def charge(self, attempts: int) -> None:
        """Subtract extra attempts that were made regardless of the budget.

        The balance may become negative, down to minus one full bucket. Until
        it is positive again, nothing is hedged or retried.
        """
        self._tokens = max(self._tokens - attempts, -self._limit)

    @property
    def _limit(self) -> float:
        return self._fraction * BUCKET_PRIMARIES


@final
class RetryBudgets:
    """Retry budgets of the customers that this daemon serves."""

    def __init__(self) -> None:
        """Create budgets without customers."""
        self._budgets: dict[CustomerId, RetryBudget] = {}

    def of(self, contract: Contract) -> RetryBudget:
        """Return a customer's budget, updated to its current contract."""
        fraction = contract.extra_load_fraction
        budget = self._budgets.get(contract.customer)
        if budget is None:
            budget = RetryBudget(fraction)
            self._budgets[contract.customer] = budget
        budget.update_fraction(fraction)
        return budget
