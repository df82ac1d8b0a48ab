"""Carries lease requests and grants between the owners of VMs."""

from collections.abc import Callable
from typing import final

from ..inner.link import Link
from ..inner.messages import InnerMessage
from ..model.ids import VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .dispatch import Dispatch
from .owner_service import OwnerService

__all__ = ('LeaseService',)


@final
class LeaseService:
    """Lets an owner borrow slots from peers and lend them its own."""

    def __init__(
        self,
        service: OwnerService,
        clock: Callable[[], float],
        send: Callable[[VmId, InnerMessage], None],
    ) -> None:
        """Share the slots of one owner.

        :param send: queues a message to another VM.
        """
        self._service = service
        self._clock = clock
        self._send = send

    def register(self, dispatch: Dispatch) -> None:
        """Take the messages of leases."""
        dispatch.register(LeaseRequest, self._answer)
        dispatch.register(LeaseGrant, self._take)

    def ask(self) -> None:
        """Send what the owner needs to ask for now."""
        for vm, request in self._service.owner.requests(self._clock()):
            self._send(vm, request)

    def _answer(self, link: Link, request: LeaseRequest) -> None:
        if link.peer is not None:
            owner = self._service.owner
            link.post(
                owner.receive_request(link.peer, request, self._clock()),
            )

    def _take(self, link: Link, grant: LeaseGrant) -> None:
        if link.peer is not None:
            owner = self._service.owner
            self._service.carry_out(
                owner.receive_grant(link.peer, grant, self._clock()),
            )
