"""Creates the HTTP responses for answers, tickets and refusals."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from starlette.responses import JSONResponse, Response

from ..model.ids import RequestId, TicketId
from ..model.messages import ActionOutcome
from ..model.verdict import Reason, Verdict
from ..query.messages import Answer

__all__ = (
    'answer_response',
    'outcome_response',
    'refusal_response',
    'ticket_response',
)

_JSON: Final = 'application/json'
_PROBLEM_JSON: Final = 'application/problem+json'
_MS_PER_S: Final = 1000

_DEFAULT_REFUSAL_STATUS: Final = 503
_STATUS_BY_REASON: Final[Mapping[Reason, int]] = MappingProxyType(
    {
        Reason.BAD_REQUEST: 400,
        Reason.KEY_WITHOUT_TICKET: 400,
        Reason.UNAUTHORIZED: 401,
        Reason.UNKNOWN_CUSTOMER: 401,
        Reason.WORKLOAD_NOT_ALLOWED: 403,
        Reason.UNKNOWN_WORKLOAD: 404,
        Reason.UNKNOWN_TICKET: 404,
        Reason.TICKET_REUSED: 409,
        Reason.TICKET_EXPIRED: 410,
        Reason.BODY_TOO_LARGE: 413,
        Reason.QUOTA_EXCEEDED: 429,
        Reason.ADMISSION_FULL: 429,
        Reason.DEADLINE_EXPIRED: 504,
        Reason.TOO_LATE_TO_START: 504,
        Reason.INTERNAL_ERROR: 500,
    }
)


def answer_response(
    request: RequestId,
    answer: Answer,
    wall_s: float,
) -> Response:
    """Create the response for a complete or partial answer.

    The records are already JSON, so they are concatenated and not encoded
    again.

    :param wall_s: current time in seconds since 1970, from which the age of
        the snapshot is computed.
    """
    if answer.pin is None or answer.coverage is None:
        return refusal_response(request, answer.verdict)
    head = json.dumps(
        {
            'request_id': request,
            'snapshot': answer.pin.snapshot,
            'shard_map_revision': answer.pin.shard_map_revision,
            'snapshot_age_s': round(max(0, wall_s - answer.published_at_s), 3),
            'coverage': {
                'answered': answer.coverage.answered,
                'total': answer.coverage.total,
                'complete': answer.coverage.complete,
                'missing': answer.coverage.missing,
            },
        }
    )
    records = ','.join(record.body_json for record in answer.records)
    # The records are inserted before the closing brace of the head.
    body = '{0},"records":[{1}]}}'.format(head[:-1], records)
    return Response(body, media_type=_JSON)


def ticket_response(ticket: TicketId, expires_in_ms: float) -> Response:
    """Create the response for a minted ticket."""
    return JSONResponse(
        {
            'ticket': ticket,
            'expires_in_ms': int(expires_in_ms),
        }
    )


def outcome_response(
    request: RequestId,
    ticket: TicketId,
    outcome: ActionOutcome,
) -> Response:
    """Create the response for the outcome of an action."""
    if outcome.verdict.reason is not Reason.OK:
        return refusal_response(request, outcome.verdict, ticket)
    return JSONResponse(
        {
            'request_id': request,
            'ticket': ticket,
            'run': outcome.verdict.run.value,
            'outcome': json.loads(outcome.outcome_json or 'null'),
        }
    )


def refusal_response(
    request: RequestId,
    verdict: Verdict,
    ticket: TicketId | None = None,
) -> Response:
    """Create the response for a refusal, a problem document (RFC 9457)."""
    status = _STATUS_BY_REASON.get(verdict.reason, _DEFAULT_REFUSAL_STATUS)
    problem: dict[str, Any] = {
        'type': 'about:blank',
        'title': verdict.reason.value.replace('_', ' '),
        'status': status,
        'detail': verdict.detail,
        'reason': verdict.reason.value,
        'run': verdict.run.value,
        'retry_after_ms': verdict.retry_after_ms,
        'request_id': request,
    }
    if ticket is not None:
        problem['ticket'] = ticket
    headers = {}
    if verdict.retry_after_ms:
        # The header holds whole seconds, rounded up.
        headers['retry-after'] = str(-(-verdict.retry_after_ms // _MS_PER_S))
    return JSONResponse(problem, status, headers, _PROBLEM_JSON)
