"""The JSON bodies that callers send, validated."""

from typing import Annotated, Any, Final, TypeVar, final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from ..model.ids import TicketId, WorkloadId
from ..model.verdict import Reason, Verdict, not_run

__all__ = ('ActionBody', 'CallerBody', 'QueryBody', 'TicketBody', 'read_body')

_MAX_NAME_LENGTH: Final = 64
_MAX_TICKET_LENGTH: Final = 512
_MAX_DEADLINE_MS: Final = 600_000
_MAX_FAULTS_TOLD: Final = 5

_Name = Annotated[str, Field(min_length=1, max_length=_MAX_NAME_LENGTH)]


class CallerBody(BaseModel):
    """What every body has.

    :ivar request_id: carried through every hop and log line; one is made
        for a request without it.
    """

    model_config = ConfigDict(frozen=True, extra='forbid')

    workload: WorkloadId = Field(min_length=1, max_length=_MAX_NAME_LENGTH)
    request_id: _Name | None = None


_AnyBody = TypeVar('_AnyBody', bound=CallerBody)


@final
class QueryBody(CallerBody):
    """``POST /v1/query``.

    :ivar query: handed to the backend servers as it is.
    :ivar deadline_ms: shorter than the contract's, if the caller has less
        patience.
    :ivar minimum_coverage: more than the contract's, if the caller needs
        more.
    """

    query: Any
    deadline_ms: int | None = Field(None, gt=0, le=_MAX_DEADLINE_MS)
    minimum_coverage: float | None = Field(None, ge=0, le=1)


@final
class TicketBody(CallerBody):
    """``POST /v1/tickets``."""


@final
class ActionBody(CallerBody):
    """``POST /v1/actions``.

    :ivar ticket: from ``/v1/tickets``; without one the action gets its own,
        which the reply names.
    :ivar idempotency_key: always refused, since no process could vouch for
        a key that the caller made up.
    """

    action: Any
    ticket: TicketId | None = Field(None, max_length=_MAX_TICKET_LENGTH)
    idempotency_key: Any = None
    deadline_ms: int | None = Field(None, gt=0, le=_MAX_DEADLINE_MS)


def read_body(
    kind: type[_AnyBody],
    payload: bytes,
) -> Result[_AnyBody, Verdict]:
    """Validate a body; the refusal lists the first few faults."""
    try:
        return Success(kind.model_validate_json(payload))
    except ValidationError as error:
        return Failure(not_run(Reason.BAD_REQUEST, _describe(error)))


def _describe(error: ValidationError) -> str:
    faults = error.errors(include_url=False, include_input=False)
    return '; '.join(
        '{0}: {1}'.format(
            '.'.join(map(str, fault['loc'])) or 'body',
            fault['msg'],
        )
        for fault in faults[:_MAX_FAULTS_TOLD]
    )
