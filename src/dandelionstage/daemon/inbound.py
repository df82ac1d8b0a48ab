"""Sub-requests and actions that peers sent to this daemon."""

from collections import defaultdict
from collections.abc import Callable
from typing import final

from ..entry.action_service import Forwarder
from ..entry.minting import MintingService
from ..inner.link import Link
from ..inner.messages import CancelCall
from ..model.ids import CallId, VmId
from ..model.messages import ActionCall, ActionOutcome, SubReply, SubRequest
from ..model.verdict import Reason, not_run
from .dispatch import Dispatch
from .owner_service import OwnerService

__all__ = ('InboundActions', 'InboundCalls')


@final
class InboundCalls:
    """Remembers which link each sub-request came by."""

    def __init__(
        self,
        vm: VmId,
        owner: OwnerService,
        accepts_new: Callable[[], bool],
    ) -> None:
        """Start with none.

        :param accepts_new: false once a planned stop takes no new ones.
        """
        self._vm = vm
        self._owner = owner
        self._accepts_new = accepts_new
        self._by_link: dict[Link, set[CallId]] = defaultdict(set)

    def take(self, link: Link, sub_request: SubRequest) -> None:
        """Hand a sub-request to the owner; the reply goes back by the link."""
        if not self._accepts_new():
            refusal = not_run(Reason.STOPPING)
            link.post(SubReply(sub_request.call, refusal, self._vm))
            return
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


@final
class InboundActions:
    """Calls with tickets that peers sent to the process that minted them."""

    def __init__(self, minting: MintingService, forwarder: Forwarder) -> None:
        """Join the two directions."""
        self._minting = minting
        self._forwarder = forwarder

    def register(self, dispatch: Dispatch) -> None:
        """Take the messages of actions, and their losses."""
        dispatch.register(ActionCall, self._take)
        dispatch.register(
            ActionOutcome,
            lambda _, outcome: self._forwarder.handle_outcome(outcome),
        )
        dispatch.register_loss(
            ActionCall,
            lambda _, call, sent: self._forwarder.handle_loss(call),
        )

    def _take(self, link: Link, call: ActionCall) -> None:
        self._minting.handle_call(call, link.post)
