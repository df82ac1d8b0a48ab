"""Faults that a test or a bench commands of a stand-in backend server."""

from enum import Enum, unique
from typing import Final, final

from pydantic import BaseModel, ConfigDict, Field

__all__ = ('Faults', 'ReplyFault', 'Silence')

_ALL_REPLIES: Final = 1_000_000_000


@unique
class Silence(Enum):
    """Which connections swallow what they are sent."""

    NONE = 'none'
    # Those open when the command came, for good; new ones work.
    OPEN = 'open'
    NEW = 'new'
    ALL = 'all'


@unique
class ReplyFault(Enum):
    """What goes wrong with a reply after the call has run."""

    NONE = 'none'
    LOST = 'lost'
    WITHHELD = 'withheld'
    CUT = 'cut'
    MALFORMED = 'malformed'
    REPEATED = 'repeated'
    WRONG_CALL = 'wrong_call'
    WRONG_BACKEND = 'wrong_backend'
    WRONG_SNAPSHOT = 'wrong_snapshot'
    WRONG_SHARD = 'wrong_shard'


@final
class Faults(BaseModel):
    """All faults in force at once; the default is none.

    :ivar slow_factor: service time is multiplied by it.
    :ivar draining: refuses new calls and says so.
    :ivar cold: refuses calls as cold.
    :ivar silence: which connections swallow what they are sent.
    :ivar reply_fault: what happens to the replies of search and act.
    :ivar reply_fault_count: to how many of the next replies.
    :ivar refuse: reason given to every call instead of running it.
    :ivar refuse_run: whether that refusal says that the call may have run.
    :ivar hang_up: closes every connection open when the command came.
    :ivar gone_snapshots: snapshots no longer held.
    :ivar straddling: records that each of several shards returns.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    slow_factor: float = Field(default=1, gt=0)
    draining: bool = False
    cold: bool = False
    silence: Silence = Silence.NONE
    reply_fault: ReplyFault = ReplyFault.NONE
    reply_fault_count: int = _ALL_REPLIES
    refuse: str | None = None
    refuse_run: str = 'not_run'
    hang_up: bool = False
    gone_snapshots: tuple[str, ...] = ()
    straddling: dict[str, tuple[str, ...]] = Field(default_factory=dict)
