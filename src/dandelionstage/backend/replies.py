"""Reads what a backend server replied; any shape gives a typed outcome."""

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
from .parts import part_done, part_found
from .reply_models import Cancelled, Done, Found, Head, Refusal

__all__ = ('read_cancelled', 'read_reply')

_RAN: Final = Verdict(Run.RAN, Reason.OK)
#: The words that a backend server refuses with.
_REASONS: Final[Mapping[str, Reason]] = MappingProxyType(
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
    """Turn a reply to a sub-request into its outcome.

    Fails, with the reason, if it is no reply to this very call.

    :param started_ms: monotonic time at which the attempt began.
    """
    try:
        return Success(_read(sub_request, backend, started_ms, reply))
    except ValueError as error:
        return Failure(str(error).partition('\n')[0])


def read_cancelled(reply: Reply) -> Result[bool, str]:
    """Say whether the server knew the call that it was told to stop."""
    try:
        return Success(Cancelled.model_validate_json(reply.body).is_known)
    except ValueError as error:
        return Failure(str(error).partition('\n')[0])


def _read(
    sub_request: SubRequest,
    backend: BackendId,
    started_ms: float,
    reply: Reply,
) -> AttemptOutcome:
    head, verdict, part = _interpret(sub_request, reply)
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


def _interpret(
    sub_request: SubRequest,
    reply: Reply,
) -> tuple[Head, Verdict, Part | None]:
    if reply.status != HTTPStatus.OK:
        refusal = Refusal.model_validate_json(reply.body)
        return refusal, _verdict_of(refusal), None
    if sub_request.action:
        done = Done.model_validate_json(reply.body)
        return done, _RAN, part_done(done, sub_request)
    found = Found.model_validate_json(reply.body)
    return found, _RAN, part_found(found)


def _verdict_of(refusal: Refusal) -> Verdict:
    reason = _REASONS.get(refusal.reason, Reason.BACKEND_ERROR)
    if refusal.run is Run.RAN:
        raise ValueError('a refusal cannot say that the call ran')
    return Verdict(refusal.run, reason, refusal.retry_after_ms)
