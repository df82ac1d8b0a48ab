"""Lends shares of limits to other VMs."""

from dataclasses import replace

from ..model.ids import VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .lease_account import LeaseAccounts
from .lease_key import LeaseKey, LimitKind
from .leases import LEASE_MS

__all__ = ('answer_lease_request',)


def answer_lease_request(
    kind: LimitKind,
    accounts: LeaseAccounts,
    vm: VmId,
    request: LeaseRequest,
    now_ms: float,
) -> LeaseGrant:
    """Answer a lease request with a grant, and confirm the VM's own share.

    The grant carries the request's digest if this VM has the same digest.
    This confirms to the requesting VM that no part of its share is in use
    here, so the digest is left empty while this VM uses more than its own.
    """
    key = LeaseKey.decode(request.key)
    if key is None or key.kind is not kind or key.name not in accounts:
        return LeaseGrant(request.call, '', 0, 0)
    account = accounts[key.name]
    amount = account.lend(vm, request.amount, now_ms)
    if (
        key.digest != account.own.published.digest
        or not account.holds_nothing_of(
            vm,
            now_ms,
        )
    ):
        key = replace(key, digest='')
    return LeaseGrant(request.call, key.encode(), amount, LEASE_MS)
