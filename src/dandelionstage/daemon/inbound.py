"""Sub-requests that peers sent to this daemon's owner."""

from collections import defaultdict
from typing import final

from ..inner.link import Link
from ..inner.messages import CancelCall
from ..model.ids import CallId
from ..model.messages import SubReply, SubRequest
from .owner_service import OwnerService

__all__ = ('InboundCalls',)


@final
class InboundCalls:
    """Remembers which link each sub-request came by."""

    def __init__(self, owner: OwnerService) -> None:
        """Start with none."""
        self._owner = owner
        self._by_link: dict[Link, set[CallId]] = defaultdict(set)

    def take(self, link: Link, sub_request: SubRequest) -> None:
        """Hand a sub-request to the owner; the reply goes back by the link."""
        calls = self._by_link[link]
        if not sub_request.action:
            calls.add(sub_request.call)

        def reply_to(reply: SubReply) -> None:  # noqa: WPS430 -- a closure
            calls.discard(reply.call)
            link.post(reply)

        self._owner.take(sub_request, reply_to)

    def cancel(self, link: Link, cancel: CancelCall) -> None:
        """Stop a sub-request that the peer no longer waits for."""
        if cancel.call in self._by_link[link]:
            self._owner.cancel(CallId(cancel.call))

    def drop(self, link: Link) -> None:
        """Stop what came by a link that has ended, but for actions."""
        for call in tuple(self._by_link.pop(link, ())):
            self._owner.cancel(call)
