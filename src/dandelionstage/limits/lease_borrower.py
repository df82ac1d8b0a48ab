"""Borrows shares of limits from other VMs."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Final, final

from ..model.ids import CallId, VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .call_ids import CallIdFactory
from .lease_account import LeaseAccount, LeaseAccounts
from .lease_key import LeaseKey, LimitKind
from .leases import Lease

__all__ = ('AddressedRequest', 'Demand', 'LeaseBorrower')

#: Amount needed of each limit, including what this VM already holds.
Demand = Mapping[str, float]

#: The VM to send a request to, and the request.
AddressedRequest = tuple[VmId, LeaseRequest]

#: Time until the next request to a VM that has not answered.
_UNANSWERED_RETRY_MS: Final = 200.0
#: Time until the next request to a VM that refused.
_REFUSED_RETRY_MS: Final = 100.0
#: Safety margin at the end of a lease: a backend server counts an attempt's
#: deadline from when it receives the request, not from when it was sent.
_LEASE_MARGIN_MS: Final = 50.0


@final
@dataclass(frozen=True, slots=True)
class _LastRequest:
    """The last request sent to a VM for a limit.

    :ivar call: id of the request, ``None`` once it is answered.
    :ivar amount: amount requested.
    :ivar sent_ms: time of sending, from which a granted lease counts.
    :ivar retry_ms: earliest time of the next request.
    """

    call: CallId | None
    amount: float
    sent_ms: float
    retry_ms: float


@final
class LeaseBorrower:
    """Requests leases by demand, and confirmations of changed own shares."""

    def __init__(
        self, kind: LimitKind, accounts: LeaseAccounts, new_call: CallIdFactory
    ) -> None:
        """Create a borrower for the accounts of one kind of limit."""
        self._kind = kind
        self._accounts = accounts
        self._new_call = new_call
        self._last_requests: dict[tuple[VmId, str], _LastRequest] = {}

    def requests(
        self, demand: Demand, now_ms: float
    ) -> Iterator[AddressedRequest]:
        """Yield the requests to send now."""
        for name in (*demand, *self._list_unconfirmed(demand, now_ms)):
            wanted = _amounts_by_vm(
                self._accounts[name],
                demand.get(name, 0),
                now_ms,
            )
            for vm, amount in wanted.items():
                if self._may_request(vm, name, now_ms):
                    yield vm, self._make_request(vm, name, amount, now_ms)

    def receive_grant(self, vm: VmId, grant: LeaseGrant) -> str | None:
        """Apply a grant and return the name of its limit.

        A grant that matches no open request is ignored.

        :returns: ``None`` if the grant is ignored.
        """
        key = LeaseKey.decode(grant.key)
        if key is None or key.kind is not self._kind:
            return None
        last = self._last_requests.get((vm, key.name))
        if last is None or last.call != grant.call:
            return None
        self._last_requests[vm, key.name] = _apply_grant(
            self._accounts[key.name],
            vm,
            last,
            grant,
        )
        return key.name

    def _list_unconfirmed(
        self, demand: Demand, now_ms: float
    ) -> tuple[str, ...]:
        return tuple(
            name
            for name, account in self._accounts.items()
            if name not in demand
            and not account.own.confirmation.is_complete(now_ms)
        )

    def _may_request(self, vm: VmId, name: str, now_ms: float) -> bool:
        last = self._last_requests.get((vm, name))
        return last is None or now_ms >= last.retry_ms

    def _make_request(
        self, vm: VmId, name: str, amount: float, now_ms: float
    ) -> LeaseRequest:
        call = self._new_call()
        retry_ms = now_ms + _UNANSWERED_RETRY_MS
        self._last_requests[vm, name] = _LastRequest(
            call, amount, now_ms, retry_ms
        )
        own = self._accounts[name].own
        key = LeaseKey(self._kind, name, own.published.digest)
        return LeaseRequest(call, key.encode(), amount)


def _apply_grant(
    account: LeaseAccount, vm: VmId, last: _LastRequest, grant: LeaseGrant
) -> _LastRequest:
    """Add a granted lease, and delay the next request after a refusal."""
    if grant.amount:
        until_ms = last.sent_ms + grant.duration_ms - _LEASE_MARGIN_MS
        account.borrowed.add(vm, Lease(grant.amount, until_ms))
    key = LeaseKey.decode(grant.key)
    confirmed = key is not None and account.own.confirm(vm, key.digest)
    refused = last.amount > grant.amount if last.amount else not confirmed
    wait_ms = _REFUSED_RETRY_MS if refused else 0
    return replace(last, call=None, retry_ms=last.sent_ms + wait_ms)


def _amounts_by_vm(
    account: LeaseAccount, demand: float, now_ms: float
) -> dict[VmId, float]:
    """Map each VM to the amount to request, 0 for a confirmation only."""
    own = account.own
    wanted: dict[VmId, float] = {}
    if not own.confirmation.is_complete(now_ms):
        wanted = dict.fromkeys(own.confirmation.pending_vms(now_ms), 0)
    for lender in own.published.lenders:
        amount = account.amount_to_borrow(lender, demand, now_ms)
        if amount > 0:
            wanted[lender] = amount
    return wanted
