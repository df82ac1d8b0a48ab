"""Models of the replies of a backend server."""

from typing import Annotated, Any, Final, Literal, final

from pydantic import BaseModel, ConfigDict, Field

from ..model.ids import BackendId, Revision, ShardId, SnapshotId
from ..model.verdict import Run

__all__ = ('Cancelled', 'Done', 'Found', 'Refusal', 'ReplyHead')

_MAX_RETRY_AFTER_MS: Final = 60_000

_RetryAfterMs = Annotated[int, Field(ge=0, le=_MAX_RETRY_AFTER_MS)]


class ReplyHead(BaseModel):
    """Fields common to all replies to a call.

    :ivar incarnation: changes when the server restarts; empty if the server
        did not state it.
    :ivar draining: whether the server is leaving.
    :ivar held_snapshots: the snapshots that the server holds.
    """

    model_config = ConfigDict(frozen=True)

    call: str
    backend: BackendId
    incarnation: str = ''
    draining: bool = False
    held_snapshots: tuple[SnapshotId, ...] = ()


@final
class Found(ReplyHead):
    """The reply to a search, with the records found."""

    shard: ShardId
    snapshot: SnapshotId
    shard_map_revision: Revision
    records: tuple[dict[str, Any], ...]


@final
class Done(ReplyHead):
    """The reply to an action, with its outcome."""

    outcome: Any


@final
class Refusal(ReplyHead):
    """A refusal, with its reason and whether the call may have run."""

    reason: str
    run: Run
    retry_after_ms: _RetryAfterMs = 0


@final
class Cancelled(BaseModel):
    """The reply to a cancel request."""

    state: Literal['cancelled', 'unknown']

    @property
    def is_known(self) -> bool:
        """Whether the call had been received and had not ended."""
        return self.state == 'cancelled'
