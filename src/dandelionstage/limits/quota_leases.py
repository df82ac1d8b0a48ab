"""Lends and borrows the quotas of customers."""

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

#: How often the needs of all customers are looked at.
_LOOK_MS: Final = 50.0


@final
class QuotaLeases:
    """Asks other stewards by demand, and is one for some customers."""

    def __init__(self, vm: VmId, quotas: Quotas, random: Random) -> None:
        """Share these quotas."""
        self._quotas = quotas
        self._looked_ms = float('-inf')
        self._borrower = LeaseBorrower(
            LimitKind.QUOTA,
            quotas.accounts,
            make_call_id_factory(vm, random),
        )

    def requests(self, now_ms: float) -> tuple[AddressedRequest, ...]:
        """Ask for what the customers of this VM need.

        Quick enough to be called after every event.
        """
        if now_ms < self._looked_ms + _LOOK_MS:
            return ()
        self._looked_ms = now_ms
        demand: dict[str, float] = {}
        for customer, account in self._quotas.accounts.items():
            self._quotas.refill(customer, now_ms)
            demand[customer] = account.demand_per_s
        return tuple(self._borrower.requests(demand, now_ms))

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Lend what no caller here needs."""
        self._earn(request.key, now_ms)
        return answer_lease_request(
            LimitKind.QUOTA,
            self._quotas.accounts,
            vm,
            request,
            now_ms,
        )

    def receive_grant(self, vm: VmId, grant: LeaseGrant, now_ms: float) -> None:
        """Use what a steward lends."""
        self._earn(grant.key, now_ms)
        self._borrower.receive_grant(vm, grant)

    def _earn(self, key: str, now_ms: float) -> None:
        decoded = LeaseKey.decode(key)
        if decoded is not None and decoded.kind is LimitKind.QUOTA:
            self._quotas.refill(decoded.name, now_ms)
