"""Shapes of the replies of a backend server."""

from typing import Annotated, Any, Final, Literal, final

from pydantic import BaseModel, ConfigDict, Field

from ..model.ids import BackendId, Revision, ShardId, SnapshotId
from ..model.verdict import Run

__all__ = ('Cancelled', 'Done', 'Found', 'Head', 'Refusal')

_MAX_RETRY_AFTER_MS: Final = 60_000

_RetryAfter = Annotated[int, Field(ge=0, le=_MAX_RETRY_AFTER_MS)]


class Head(BaseModel):
    """What every reply to a call says."""

    model_config = ConfigDict(frozen=True)

    call: str
    backend: BackendId
    incarnation: str = ''
    draining: bool = False
    held_snapshots: tuple[SnapshotId, ...] = ()


@final
class Found(Head):
    """The records that a search found."""

    shard: ShardId
    snapshot: SnapshotId
    shard_map_revision: Revision
    records: tuple[dict[str, Any], ...]


@final
class Done(Head):
    """How an action ended."""

    outcome: Any


@final
class Refusal(Head):
    """Why a call was refused and whether it may have run."""

    reason: str
    run: Run
    retry_after_ms: _RetryAfter = 0


@final
class Cancelled(BaseModel):
    """Whether a call to be stopped was known."""

    state: Literal['cancelled', 'unknown']

    @property
    def is_known(self) -> bool:
        """Whether the call had come and had not ended."""
        return self.state == 'cancelled'
