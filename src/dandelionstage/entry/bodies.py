"""Defines and validates the JSON bodies of callers' requests."""

from typing import Annotated, Any, Final, TypeVar, final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from ..model.ids import TicketId, WorkloadId
from ..model.verdict import Reason, Verdict, not_run

__all__ = ('ActionBody', 'CallerBody', 'QueryBody', 'TicketBody', 'read_body')

#: Maximum lengths in characters.
_MAX_NAME_LENGTH: Final = 64
_MAX_TICKET_LENGTH: Final = 512

_MAX_DEADLINE_MS: Final = 600_000
_MAX_FAULTS_LISTED: Final = 5

_Name = Annotated[str, Field(min_length=1, max_length=_MAX_NAME_LENGTH)]


class CallerBody(BaseModel):
    """Base class with the fields of every body.

    :ivar workload: the requested workload.
    :ivar request_id: included in messages to other daemons and in log lines;
        generated if the caller sends none.
    """

    model_config = ConfigDict(frozen=True, extra='forbid')

    workload: WorkloadId = Field(min_length=1, max_length=_MAX_NAME_LENGTH)
    request_id: _Name | None = None


_AnyBody = TypeVar('_AnyBody', bound=CallerBody)


@final
class QueryBody(CallerBody):
    """Body of ``POST /v1/query``.

    :ivar query: passed to the backend servers unchanged.
    :ivar deadline_ms: deadline in milliseconds from arrival; has no effect if
        the contract's is shorter.
    :ivar minimum_coverage: fraction of shards that must answer; has no effect
        if the contract's is higher.
    """

    query: Any
    deadline_ms: int | None = Field(None, gt=0, le=_MAX_DEADLINE_MS)
    minimum_coverage: float | None = Field(None, ge=0, le=1)


@final
class TicketBody(CallerBody):
    """Body of ``POST /v1/tickets``."""


@final
class ActionBody(CallerBody):
    """Body of ``POST /v1/actions``.

    :ivar action: passed to the backend server unchanged.
    :ivar ticket: from ``/v1/tickets``; if there is none, a ticket is minted
        and returned in the reply.
    :ivar idempotency_key: ignored if there is a ticket, otherwise refused: no
        process can tell whether a key chosen by the caller was used before.
    :ivar deadline_ms: deadline in milliseconds from arrival; has no effect if
        the contract's is shorter.
    """

    action: Any
    ticket: TicketId | None = Field(None, max_length=_MAX_TICKET_LENGTH)
    idempotency_key: Any = None
    deadline_ms: int | None = Field(None, gt=0, le=_MAX_DEADLINE_MS)


def read_body(
    body_type: type[_AnyBody],
    payload: bytes,
) -> Result[_AnyBody, Verdict]:
    """Parse and validate a body.

    :returns: the body, or a refusal that lists the first faults.
    """
    try:
        return Success(body_type.model_validate_json(payload))
    except ValidationError as error:
        return Failure(not_run(Reason.BAD_REQUEST, _describe(error)))


def _describe(error: ValidationError) -> str:
    faults = error.errors(include_url=False, include_input=False)
    return '; '.join(
        '{0}: {1}'.format(
            '.'.join(map(str, fault['loc'])) or 'body',
            fault['msg'],
        )
        for fault in faults[:_MAX_FAULTS_LISTED]
    )
