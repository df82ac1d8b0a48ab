"""What the caller API answers."""

from typing import Any, final

from pydantic import BaseModel, ConfigDict

from ..model.verdict import Reason, Run

__all__ = (
    'ActionReply',
    'CoverageReply',
    'Problem',
    'QueryReply',
    'TicketReply',
)


class _Reply(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')


@final
class CoverageReply(_Reply):
    """How much of the shard map an answer covers."""

    answered: int
    total: int
    complete: bool
    missing: tuple[str, ...]


@final
class QueryReply(_Reply):
    """The answer to a query."""

    request_id: str
    snapshot: str
    shard_map_revision: int
    snapshot_age_s: float
    coverage: CoverageReply
    records: tuple[dict[str, Any], ...]


@final
class TicketReply(_Reply):
    """A ticket for one action."""

    ticket: str
    expires_in_ms: int


@final
class ActionReply(_Reply):
    """The outcome of an action."""

    request_id: str
    ticket: str
    run: Run
    outcome: Any


@final
class Problem(_Reply):
    """A refusal.

    :ivar run: whether the request may have run.
    :ivar reason: a value of the refusal reasons, or a newer one.
    """

    run: Run = Run.MAY_HAVE_RUN
    reason: str = Reason.BAD_REPLY.value
    detail: str = ''
    retry_after_ms: int = 0
    request_id: str = ''
