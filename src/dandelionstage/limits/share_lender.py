"""Answers requests for slots of backend servers."""

from ..model.ids import VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .leases import LEASE_MS
from .share_messages import ShareKey
from .slot_account import SlotAccount

__all__ = ('answer_request', 'refuse_request')


def refuse_request(request: LeaseRequest) -> LeaseGrant:
    """Lend nothing and confirm nothing."""
    return LeaseGrant(request.call, request.key, 0, 0)


def answer_request(
    account: SlotAccount,
    vm: VmId,
    request: LeaseRequest,
    now_ms: float,
    *,
    needed: bool,
) -> LeaseGrant:
    """Lend free slots, and confirm a view of the shares that is ours too.

    A confirmation says that nothing of the asking VM's share is in use
    here, so it is withheld while slots beyond this VM's own are.

    :param needed: work waits here for the same slots.
    """
    key = ShareKey.decode(request.key)
    if key is None:
        return refuse_request(request)
    view = account.own.view
    amount: float = 0
    if vm in view.circle and not needed:
        amount = account.lend(vm, request.amount, now_ms)
    confirmed = key.digest == view.digest and account.is_clear_of(vm, now_ms)
    answer = ShareKey(key.backend, key.digest if confirmed else '')
    return LeaseGrant(request.call, answer.encode(), amount, LEASE_MS)
