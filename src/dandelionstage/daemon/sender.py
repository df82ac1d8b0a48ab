"""Carries sub-requests to their owners, this VM's own without a socket."""

from collections.abc import Callable

from ..entry.runner import Sender
from ..inner.messages import CancelCall, InnerMessage
from ..model.ids import CallId, VmId
from ..model.messages import SubReply, SubRequest
from .owner_service import OwnerService

__all__ = ('make_sender',)


def make_sender(
    vm: VmId,
    send: Callable[[VmId, InnerMessage], None],
    owner: OwnerService,
    take_reply: Callable[[SubReply], None],
) -> Sender:
    """Make the sender of one daemon.

    :param vm: this daemon.
    :param send: queues a message to another one.
    :param take_reply: takes the replies of this daemon's own owner.
    """

    def send_request(  # noqa: WPS430 -- a closure over the two ways
        target: VmId,
        sub_request: SubRequest,
    ) -> None:
        if target == vm:
            owner.take(sub_request, take_reply)
        else:
            send(target, sub_request)

    def cancel(target: VmId, call: CallId) -> None:  # noqa: WPS430 -- as above
        if target == vm:
            owner.cancel(call)
        else:
            send(target, CancelCall(call))

    return Sender(send_request, cancel)
