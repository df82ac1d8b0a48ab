"""Asks other VMs for shares of limits."""

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

#: How much is wanted of each limit, what this VM holds included.
Demand = Mapping[str, float]

#: A request and the VM to send it to.
AddressedRequest = tuple[VmId, LeaseRequest]

#: A VM that does not answer is asked again after this long.
_SILENT_MS: Final = 200.0
#: A VM that refused is asked again after this long.
_REFUSED_MS: Final = 100.0
#: A server counts a deadline from when the request reaches it.
_MARGIN_MS: Final = 50.0


@final
@dataclass(frozen=True, slots=True)
class _Asked:
    """The latest request to a VM for a limit.

    :ivar call: ``None`` once it is answered.
    :ivar amount: how much it asked for.
    :ivar sent_ms: from when a lease counts.
    :ivar again_ms: when the VM may be asked again.
    """

    call: CallId | None
    amount: float
    sent_ms: float
    again_ms: float


@final
class LeaseBorrower:
    """Borrows by demand and asks for the confirmation of new shares."""

    def __init__(
        self, kind: LimitKind, accounts: LeaseAccounts, new_call: CallIdFactory
    ) -> None:
        """Borrow for these accounts."""
        self._kind = kind
        self._accounts = accounts
        self._new_call = new_call
        self._asked: dict[tuple[VmId, str], _Asked] = {}

    def requests(
        self, demand: Demand, now_ms: float
    ) -> Iterator[AddressedRequest]:
        """Make the requests to send now."""
        for name in (*demand, *self._list_unsettled(demand, now_ms)):
            wanted = _list_wanted(
                self._accounts[name],
                demand.get(name, 0),
                now_ms,
            )
            for vm, amount in wanted.items():
                if self._may_ask(vm, name, now_ms):
                    yield vm, self._ask(vm, name, amount, now_ms)

    def receive_grant(self, vm: VmId, grant: LeaseGrant) -> str | None:
        """Take over what was lent; return of which limit.

        A grant that answers no open request changes nothing.
        """
        key = LeaseKey.decode(grant.key)
        if key is None or key.kind is not self._kind:
            return None
        asked = self._asked.get((vm, key.name))
        if asked is None or asked.call != grant.call:
            return None
        self._asked[vm, key.name] = _take(
            self._accounts[key.name],
            vm,
            asked,
            grant,
        )
        return key.name

    def _list_unsettled(self, demand: Demand, now_ms: float) -> tuple[str, ...]:
        return tuple(
            name
            for name, account in self._accounts.items()
            if name not in demand
            and not account.own.confirmation.is_complete(now_ms)
        )

    def _may_ask(self, vm: VmId, name: str, now_ms: float) -> bool:
        asked = self._asked.get((vm, name))
        return asked is None or now_ms >= asked.again_ms

    def _ask(
        self, vm: VmId, name: str, amount: float, now_ms: float
    ) -> LeaseRequest:
        call = self._new_call()
        again_ms = now_ms + _SILENT_MS
        self._asked[vm, name] = _Asked(call, amount, now_ms, again_ms)
        own = self._accounts[name].own
        key = LeaseKey(self._kind, name, own.published.digest)
        return LeaseRequest(call, key.encode(), amount)


def _take(
    account: LeaseAccount, vm: VmId, asked: _Asked, grant: LeaseGrant
) -> _Asked:
    """Use a grant; what it refused is asked again, but not at once."""
    if grant.amount:
        until_ms = asked.sent_ms + grant.duration_ms - _MARGIN_MS
        account.borrowed.add(vm, Lease(grant.amount, until_ms))
    key = LeaseKey.decode(grant.key)
    confirmed = key is not None and account.own.confirm(vm, key.digest)
    refused = asked.amount > grant.amount if asked.amount else not confirmed
    wait_ms = _REFUSED_MS if refused else 0
    return replace(asked, call=None, again_ms=asked.sent_ms + wait_ms)


def _list_wanted(
    account: LeaseAccount, demand: float, now_ms: float
) -> dict[VmId, float]:
    """Say whom to ask for how much, 0 for a confirmation alone."""
    own = account.own
    wanted: dict[VmId, float] = {}
    if not own.confirmation.is_complete(now_ms):
        wanted = dict.fromkeys(own.confirmation.pending_vms(now_ms), 0)
    for lender in own.published.lenders:
        amount = account.amount_to_borrow(lender, demand, now_ms)
        if amount > 0:
            wanted[lender] = amount
    return wanted
