"""Replies that an owner sends to an entry."""

from ..limits.queued_sub_request import QueuedSubRequest
from ..model.ids import VmId
from ..model.messages import SubReply
from ..model.verdict import Verdict
from .messages import AttemptOutcome, SendReply
from .state import Attempt

__all__ = ('answer', 'refuse')


def refuse(
    vm: VmId, waiting: QueuedSubRequest, verdict: Verdict, now_ms: float
) -> SendReply:
    """Reply to work that was not started, or not any more."""
    return SendReply(
        SubReply(
            call=waiting.call,
            verdict=verdict,
            answered_by=vm,
            queue_ms=now_ms - waiting.arrived_ms,
        ),
    )


def answer(vm: VmId, attempt: Attempt, outcome: AttemptOutcome) -> SendReply:
    """Pass on how an attempt ended."""
    return SendReply(
        SubReply(
            call=outcome.call,
            verdict=outcome.verdict,
            answered_by=vm,
            part=outcome.part,
            backend=outcome.backend,
            held_snapshots=outcome.held_snapshots,
            service_ms=outcome.service_ms,
            queue_ms=attempt.started_ms - attempt.waiting.arrived_ms,
        ),
    )
