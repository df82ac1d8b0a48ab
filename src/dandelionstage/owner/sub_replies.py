"""Replies to sub-requests, built for the VM that sent them."""

from ..limits.queued_sub_request import QueuedSubRequest
from ..model.ids import VmId
from ..model.messages import SubReply
from ..model.verdict import Verdict
from .messages import AttemptOutcome, SendReply
from .owner_state import Attempt

__all__ = ('make_refusal', 'make_reply')


def make_refusal(
    vm: VmId, queued: QueuedSubRequest, verdict: Verdict, now_ms: float
) -> SendReply:
    """Build the reply to a queued sub-request that will not be started."""
    return SendReply(
        SubReply(
            call=queued.call,
            verdict=verdict,
            answered_by=vm,
            queue_ms=now_ms - queued.arrived_ms,
        ),
    )


def make_reply(
    vm: VmId, attempt: Attempt, outcome: AttemptOutcome
) -> SendReply:
    """Build the reply that reports the outcome of an attempt."""
    return SendReply(
        SubReply(
            call=outcome.call,
            verdict=outcome.verdict,
            answered_by=vm,
            part=outcome.part,
            backend=outcome.backend,
            held_snapshots=outcome.held_snapshots,
            service_ms=outcome.service_ms,
            queue_ms=attempt.started_ms - attempt.queued.arrived_ms,
        ),
    )
