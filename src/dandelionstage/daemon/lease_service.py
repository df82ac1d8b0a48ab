"""Carries lease requests and grants between VMs."""

from collections.abc import Callable
from typing import final

from ..inner.link import Link
from ..inner.messages import InnerMessage
from ..limits.admission import Admission
from ..limits.lease_key import LeaseKey, LimitKind
from ..model.ids import VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .dispatch import Dispatch
from .owner_service import OwnerService

__all__ = ('LeaseService',)


@final
class LeaseService:
    """Lets a VM borrow slots and quotas from peers and lend them its own."""

    def __init__(
        self,
        service: OwnerService,
        admission: Admission,
        clock: Callable[[], float],
        send: Callable[[VmId, InnerMessage], None],
    ) -> None:
        """Share the slots of one owner and the quotas of one entry.

        :param send: queues a message to another VM.
        """
        self._service = service
        self._admission = admission
        self._clock = clock
        self._send = send

    def register(self, dispatch: Dispatch) -> None:
        """Take the messages of leases."""
        dispatch.register(LeaseRequest, self._answer)
        dispatch.register(LeaseGrant, self._take)

    def ask(self) -> None:
        """Send what this VM needs to ask for now."""
        now_ms = self._clock()
        self._admission.tick(now_ms)
        for vm, request in self._service.owner.requests(now_ms):
            self._send(vm, request)
        for lender, wish in self._admission.quota_leases.requests(now_ms):
            self._send(lender, wish)

    def _answer(self, link: Link, request: LeaseRequest) -> None:
        if link.peer is None:
            return
        lender = self._service.owner.receive_request
        if _is_quota(request.key):
            lender = self._admission.quota_leases.receive_request
        link.post(lender(link.peer, request, self._clock()))

    def _take(self, link: Link, grant: LeaseGrant) -> None:
        if link.peer is None:
            return
        now_ms = self._clock()
        if _is_quota(grant.key):
            self._admission.quota_leases.receive_grant(link.peer, grant, now_ms)
            return
        owner = self._service.owner
        self._service.carry_out(
            owner.receive_grant(link.peer, grant, now_ms),
        )


def _is_quota(key: str) -> bool:
    decoded = LeaseKey.decode(key)
    return decoded is not None and decoded.kind is LimitKind.QUOTA
