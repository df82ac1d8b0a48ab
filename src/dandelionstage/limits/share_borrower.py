"""Asks other VMs for slots of backend servers."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Final, final

from ..model.ids import BackendId, CallId, VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .call_ids import NewCall
from .leases import LEASE_MS, Lease
from .server_shares import Accounts
from .share_messages import ShareKey
from .slot_account import SlotAccount

__all__ = ('Demand', 'ShareBorrower')

#: Slots wanted at each server, those in use included.
Demand = Mapping[BackendId, int]

#: A VM that does not answer is asked again after this long.
_SILENT_MS: Final = 200.0
#: A VM that refused is asked again after this long.
_REFUSED_MS: Final = 100.0
#: A lease is renewed once it has less than this left.
_RENEW_MS: Final = LEASE_MS / 2

#: A server counts a deadline from when the request reaches it.
_MARGIN_MS: Final = 50.0


@final
@dataclass(frozen=True, slots=True)
class _Asked:
    """The latest request to a VM for a server.

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
class ShareBorrower:
    """Borrows by demand and asks for the confirmation of new shares."""

    def __init__(self, accounts: Accounts, new_call: NewCall) -> None:
        """Borrow for these accounts."""
        self._accounts = accounts
        self._new_call = new_call
        self._asked: dict[tuple[VmId, BackendId], _Asked] = {}

    def requests(
        self, demand: Demand, now_ms: float
    ) -> Iterator[tuple[VmId, LeaseRequest]]:
        """Make the requests to send now."""
        for backend in (*demand, *self._list_unsettled(demand, now_ms)):
            wanted = _list_wanted(
                self._accounts[backend],
                demand.get(backend, 0),
                now_ms,
            )
            for vm, amount in wanted.items():
                if self._may_ask(vm, backend, now_ms):
                    yield vm, self._ask(vm, backend, amount, now_ms)

    def receive_grant(self, vm: VmId, grant: LeaseGrant) -> BackendId | None:
        """Take over what was lent; return for which server.

        A grant that answers no open request changes nothing.
        """
        key = ShareKey.decode(grant.key)
        if key is None:
            return None
        asked = self._asked.get((vm, key.backend))
        account = self._accounts.get(key.backend)
        if account is None or asked is None or asked.call != grant.call:
            return None
        if grant.amount:
            until_ms = asked.sent_ms + grant.duration_ms - _MARGIN_MS
            account.borrowed.add(vm, Lease(grant.amount, until_ms))
        self._asked[vm, key.backend] = _close(
            asked,
            grant,
            confirmed=account.own.confirm(vm, key.digest),
        )
        return key.backend

    def _list_unsettled(
        self, demand: Demand, now_ms: float
    ) -> tuple[BackendId, ...]:
        return tuple(
            backend
            for backend, account in self._accounts.items()
            if backend not in demand
            and not account.own.settlement.settled(now_ms)
        )

    def _may_ask(self, vm: VmId, backend: BackendId, now_ms: float) -> bool:
        asked = self._asked.get((vm, backend))
        return asked is None or now_ms >= asked.again_ms

    def _ask(
        self, vm: VmId, backend: BackendId, amount: float, now_ms: float
    ) -> LeaseRequest:
        call = self._new_call()
        again_ms = now_ms + _SILENT_MS
        self._asked[vm, backend] = _Asked(call, amount, now_ms, again_ms)
        own = self._accounts[backend].own
        key = ShareKey(backend, own.view.digest)
        return LeaseRequest(call, key.encode(), amount)


def _close(asked: _Asked, grant: LeaseGrant, *, confirmed: bool) -> _Asked:
    """Note an answer; what was refused is asked again, but not at once."""
    refused = asked.amount > grant.amount if asked.amount else not confirmed
    wait_ms = _REFUSED_MS if refused else 0
    return replace(asked, call=None, again_ms=asked.sent_ms + wait_ms)


def _list_wanted(
    account: SlotAccount, demand: int, now_ms: float
) -> dict[VmId, float]:
    """Say whom to ask for how many slots, 0 for a confirmation alone."""
    own = account.own
    wanted: dict[VmId, float] = {}
    if not own.settlement.settled(now_ms):
        wanted = dict.fromkeys(own.settlement.awaited(now_ms), 0)
    missing = demand - account.kept(now_ms)
    for lender in own.view.lenders:
        amount = _missing_from(account, lender, missing, now_ms)
        if amount > 0:
            wanted[lender] = amount
    return wanted


def _missing_from(
    account: SlotAccount, lender: VmId, missing: int, now_ms: float
) -> float:
    """Say what to borrow or renew from one lender, 0 for nothing."""
    lease = account.borrowed.of(lender)
    held = lease.worth(now_ms)
    needed = missing - account.borrowed.total(now_ms) + held
    if needed <= 0:
        return 0
    if needed <= held and lease.until_ms >= now_ms + _RENEW_MS:
        return 0
    # A loan is never renewed for less.
    return max(needed, held)
