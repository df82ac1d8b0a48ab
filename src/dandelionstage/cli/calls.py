"""Calls to the caller API, over several entries if need be."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final, TypeVar, final

import httpx
from pydantic import BaseModel, ValidationError
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..model.verdict import Reason, Run
from .replies import Problem

__all__ = ('NOBODY', 'WAIT_MS', 'Call', 'send')

_Reply = TypeVar('_Reply', bound=BaseModel)

#: The problem when no entry could be connected to.
NOBODY: Final = Problem(
    run=Run.NOT_RUN,
    reason=Reason.PEER_UNREACHABLE.value,
    detail='no entry could be reached, nothing was sent',
)

#: How long to wait for an answer unless told otherwise.
WAIT_MS: Final = 30_000

_CONNECT_S: Final = 2.0
#: Beyond the deadline the entry itself answers that it has passed.
_GRACE_S: Final = 2.0
_MS_PER_S: Final = 1000
_NOT_SENT: Final = (httpx.ConnectError, httpx.ConnectTimeout)


@final
@dataclass(frozen=True, slots=True)
class Call:
    """One request to the caller API.

    :ivar path: below the entry's URL.
    :ivar body: terms that are ``None`` are left out.
    :ivar wait_ms: how long to wait for an answer.
    :ivar repeatable: whether it may be sent again when it may have run.
    """

    path: str
    key: str
    body: Mapping[str, Any]
    wait_ms: int = WAIT_MS
    repeatable: bool = False


def send(
    entries: Sequence[str],
    call: Call,
    reply: type[_Reply],
) -> Result[_Reply, Problem]:
    """Send a call to the first entry that takes it.

    The next entry is tried only when the call was certainly not sent, or
    may be repeated.

    :param entries: base URLs, the preferred one first.
    """
    outcome: Result[_Reply, Problem] = Failure(NOBODY)
    for entry in entries:
        attempt = _attempt(entry, call, reply)
        if attempt is None:
            continue
        outcome = attempt
        if not (call.repeatable and _is_lost(outcome)):
            break
    return outcome


def _attempt(
    entry: str,
    call: Call,
    reply: type[_Reply],
) -> Result[_Reply, Problem] | None:
    """Send a call to one entry, ``None`` if it was certainly not sent."""
    try:
        response = _post(entry, call)
    except _NOT_SENT:
        return None
    except httpx.HTTPError as error:
        return Failure(_lost(error))
    return _read(response, reply)


def _post(entry: str, call: Call) -> httpx.Response:
    timeout_s = call.wait_ms / _MS_PER_S + _GRACE_S
    return httpx.post(
        '{0}{1}'.format(entry.rstrip('/'), call.path),
        json={
            name: term for name, term in call.body.items() if term is not None
        },
        headers={'Authorization': 'Bearer {0}'.format(call.key)},
        timeout=httpx.Timeout(timeout_s, connect=_CONNECT_S),
    )


def _is_lost(outcome: Result[_Reply, Problem]) -> bool:
    if is_successful(outcome):
        return False
    return outcome.failure().reason == Reason.CONNECTION_LOST.value


def _lost(error: httpx.HTTPError) -> Problem:
    return Problem(
        run=Run.MAY_HAVE_RUN,
        reason=Reason.CONNECTION_LOST.value,
        detail='the entry did not answer ({0})'.format(type(error).__name__),
    )


def _read(
    response: httpx.Response,
    reply: type[_Reply],
) -> Result[_Reply, Problem]:
    model = reply if response.is_success else Problem
    try:
        body = model.model_validate_json(response.content)
    except ValidationError:
        detail = 'unreadable answer, HTTP {0}'.format(response.status_code)
        return Failure(Problem(detail=detail))
    return Failure(body) if isinstance(body, Problem) else Success(body)
