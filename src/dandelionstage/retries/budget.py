"""Bounds hedges and retries to a share of a customer's primary requests."""

from typing import Final, final

from ..model.contract import Contract
from ..model.ids import CustomerId

__all__ = ('BUCKET_PRIMARIES', 'RetryBudget', 'RetryBudgets')

#: Primary sub-requests whose share of extra load may be saved up.
BUCKET_PRIMARIES: Final = 400


@final
class RetryBudget:
    """A token bucket filled by primary sub-requests, not by time.

    Under total overload each primary buys at most its fraction of an extra
    attempt, so retries cannot feed on themselves.

    :param fraction: extra attempts allowed per primary sub-request.
    """

    def __init__(self, fraction: float) -> None:
        """Start with a full bucket."""
        self._fraction = fraction
        self._tokens = self._limit

    @property
    def tokens(self) -> float:
        """Extra attempts that may be started now, negative when in debt."""
        return self._tokens

    def update_fraction(self, fraction: float) -> None:
        """Follow a changed contract, keeping no more than it allows."""
        self._fraction = fraction
        self._tokens = min(self._tokens, self._limit)

    def add_primaries(self, primaries: int) -> None:
        """Add the share that these primary sub-requests allow."""
        earned = self._tokens + primaries * self._fraction
        self._tokens = min(earned, self._limit)

    def take(self) -> bool:
        """Spend one token on an extra attempt, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def charge(self, attempts: int) -> None:
        """Account for extra attempts that had to be made.

        The debt is bounded by one full bucket; while it lasts nothing else
        is hedged or retried.
        """
        self._tokens = max(self._tokens - attempts, -self._limit)

    @property
    def _limit(self) -> float:
        return self._fraction * BUCKET_PRIMARIES


@final
class RetryBudgets:
    """The budget of each customer served by this daemon."""

    def __init__(self) -> None:
        """Start without customers."""
        self._budgets: dict[CustomerId, RetryBudget] = {}

    def of(self, contract: Contract) -> RetryBudget:
        """Return the customer's budget under the contract now in force."""
        fraction = contract.extra_load_fraction
        budget = self._budgets.get(contract.customer)
        if budget is None:
            budget = RetryBudget(fraction)
            self._budgets[contract.customer] = budget
        budget.update_fraction(fraction)
        return budget
