"""Borrows and lends shares of customers' quotas."""

from random import Random
from typing import Final, final

from ..model.ids import VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .call_ids import make_call_id_factory
from .lease_borrower import AddressedRequest, LeaseBorrower
from .lease_key import LeaseKey, LimitKind
from .lease_lender import answer_lease_request
from .quotas import Quotas

__all__ = ('QuotaLeases',)

#: Interval at which the demand of all customers is evaluated.
_EVALUATION_INTERVAL_MS: Final = 50.0


@final
class QuotaLeases:
    """Requests leases of quota by demand, and answers other VMs' requests."""

    def __init__(self, vm: VmId, quotas: Quotas, random: Random) -> None:
        """Borrow for, and lend from, the given quotas."""
        self._quotas = quotas
        self._evaluated_ms = float('-inf')
        self._borrower = LeaseBorrower(
            LimitKind.QUOTA,
            quotas.accounts,
            make_call_id_factory(vm, random),
        )

    def requests(self, now_ms: float) -> tuple[AddressedRequest, ...]:
        """Return the requests to send for the demand of all customers.

        The call is cheap enough to be made after every event.
        """
        if now_ms < self._evaluated_ms + _EVALUATION_INTERVAL_MS:
            return ()
        self._evaluated_ms = now_ms
        demand: dict[str, float] = {}
        for customer, account in self._quotas.accounts.items():
            self._quotas.refill(customer, now_ms)
            demand[customer] = account.demand_per_s
        return tuple(self._borrower.requests(demand, now_ms))

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Answer a request with quota that no caller at this VM needs."""
        self._refill(request.key, now_ms)
        return answer_lease_request(
            LimitKind.QUOTA,
            self._quotas.accounts,
            vm,
            request,
            now_ms,
        )

    def receive_grant(self, vm: VmId, grant: LeaseGrant, now_ms: float) -> None:
        """Apply a grant from another VM."""
        self._refill(grant.key, now_ms)
        self._borrower.receive_grant(vm, grant)

    def _refill(self, key: str, now_ms: float) -> None:
        decoded = LeaseKey.decode(key)
        if decoded is not None and decoded.kind is LimitKind.QUOTA:
            self._quotas.refill(decoded.name, now_ms)
