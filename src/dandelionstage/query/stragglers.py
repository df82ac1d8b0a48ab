"""Tells a straggler, which a hedge helps, from load, which it worsens."""

from dataclasses import dataclass
from typing import Final, final

from .messages import Query
from .owner_timeout import find_patience_ms, is_owner_silent
from .shard_progress import ShardProgress, Shards
from .shared_state import SharedQueryState

__all__ = ('Wait', 'is_straggler', 'measure_wait')

#: Share of the shards that may be stragglers at one time.
_FEW_FRACTION: Final = 0.1
#: With more of them open, this many hedge delays make a straggler.
_SURE_FACTOR: Final = 2


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """How long a shard has been waited for.

    :ivar long: twice as long as before a hedge.
    :ivar silent: nothing was heard of its owner meanwhile.
    :ivar lost: so long that an owner this silent counts as lost.
    """

    long: bool
    silent: bool
    lost: bool


def measure_wait(
    query: Query,
    progress: ShardProgress,
    tools: SharedQueryState,
    now_ms: float,
) -> Wait:
    """Measure the wait since the oldest attempt that is out."""
    first = progress.first_out()
    waited_ms = now_ms - first.sent_ms
    delay_ms = tools.delays.delay_ms(query.workload, progress.shard)
    silent = is_owner_silent(first, tools)
    return Wait(
        long=waited_ms >= delay_ms * _SURE_FACTOR,
        silent=silent,
        lost=silent and waited_ms >= find_patience_ms(query, tools),
    )


def is_straggler(shards: Shards, wait: Wait) -> bool:
    """Whether a hedge helps: nearly all others are in, or the owner is lost.

    While most shards are open the load is at fault, not a replica, and
    hedges would add to it.
    """
    if shards.open <= max(1, shards.total * _FEW_FRACTION):
        return True
    if shards.open <= shards.total / 2:
        return wait.silent or wait.long
    return wait.lost
