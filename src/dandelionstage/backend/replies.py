"""Parses and validates the replies of backend servers."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from returns.result import Failure, Result, Success

from ..model.ids import BackendId
from ..model.messages import Part, SubRequest
from ..model.verdict import Reason, Run, Verdict
from ..owner.messages import AttemptOutcome
from .exchange import Reply
from .limits import now_ms
from .parts import action_part, search_part
from .reply_models import Cancelled, Done, Found, Refusal, ReplyHead

__all__ = ('read_cancelled', 'read_reply')

_RAN: Final = Verdict(Run.RAN, Reason.OK)
#: Reasons in the refusals of backend servers; any other reason becomes
#: BACKEND_ERROR.
_REFUSAL_REASONS: Final[Mapping[str, Reason]] = MappingProxyType(
    {
        'draining': Reason.BACKEND_DRAINING,
        'cold': Reason.BACKEND_COLD,
        'overloaded': Reason.BACKEND_OVERLOADED,
        'snapshot_gone': Reason.SNAPSHOT_GONE,
        'shard_moved': Reason.SHARD_MOVED,
        'deadline_expired': Reason.DEADLINE_EXPIRED,
        'cancelled': Reason.CANCELLED,
        'bad_request': Reason.BAD_REQUEST,
    },
)


def read_reply(
    sub_request: SubRequest,
    backend: BackendId,
    started_ms: float,
    reply: Reply,
) -> Result[AttemptOutcome, str]:
    """Parse the reply to a sub-request.

    :param started_ms: monotonic time at which the attempt started.
    :returns: the outcome, or why the reply is not valid for this call (the
        first line of the error, as validation errors have several lines).
    """
    try:
        return Success(_parse_outcome(sub_request, backend, started_ms, reply))
    except ValueError as error:
        return Failure(str(error).partition('\n')[0])


def read_cancelled(reply: Reply) -> Result[bool, str]:
    """Parse the reply to a cancel request.

    :returns: whether the call was in progress at the server, or why the reply
        is not valid.
    """
    try:
        return Success(Cancelled.model_validate_json(reply.body).is_known)
    except ValueError as error:
        return Failure(str(error).partition('\n')[0])


def _parse_outcome(
    sub_request: SubRequest,
    backend: BackendId,
    started_ms: float,
    reply: Reply,
) -> AttemptOutcome:
    head, verdict, part = _parse_reply(sub_request, reply)
    if head.call != sub_request.call:
        raise ValueError('the reply is to another call')
    if head.backend != backend:
        raise ValueError('the reply is from another backend server')
    return AttemptOutcome(
        call=sub_request.call,
        backend=backend,
        verdict=verdict,
        part=part,
        held_snapshots=head.held_snapshots,
        draining=head.draining or verdict.reason is Reason.BACKEND_DRAINING,
        backend_incarnation=head.incarnation,
        service_ms=reply.service_ms,
        hop_ms=now_ms() - started_ms,
    )


def _parse_reply(
    sub_request: SubRequest,
    reply: Reply,
) -> tuple[ReplyHead, Verdict, Part | None]:
    if reply.status != HTTPStatus.OK:
        refusal = Refusal.model_validate_json(reply.body)
        return refusal, _refusal_verdict(refusal), None
    if sub_request.action:
        done = Done.model_validate_json(reply.body)
        return done, _RAN, action_part(done, sub_request)
    found = Found.model_validate_json(reply.body)
    return found, _RAN, search_part(found)


def _refusal_verdict(refusal: Refusal) -> Verdict:
    reason = _REFUSAL_REASONS.get(refusal.reason, Reason.BACKEND_ERROR)
    if refusal.run is Run.RAN:
        raise ValueError('a refusal cannot say that the call ran')
    return Verdict(refusal.run, reason, refusal.retry_after_ms)
