"""Distinguishes stragglers from overload.

A hedge helps against a straggler but makes overload worse.
"""

from dataclasses import dataclass
from typing import Final, final

from .messages import Query
from .owner_timeout import is_owner_unresponsive, owner_timeout_ms
from .shard_progress import ScatterProgress, ShardProgress
from .shared_state import SharedQueryState

__all__ = ('Wait', 'is_straggler', 'measure_wait')

#: Up to this share of the shards, all pending ones count as stragglers.
_MAX_STRAGGLER_FRACTION: Final = 0.1
#: A wait is overdue after this many hedge delays.
_OVERDUE_FACTOR: Final = 2


@final
@dataclass(frozen=True, slots=True)
class Wait:
    """How the wait for a shard compares with the hedge delay and timeout.

    :ivar overdue: whether the wait is twice the hedge delay or longer.
    :ivar unresponsive: whether the owner has sent no reply since the oldest
        attempt in flight was sent.
    :ivar owner_lost: whether the owner has been unresponsive for the timeout
        or longer.
    """

    overdue: bool
    unresponsive: bool
    owner_lost: bool


def measure_wait(
    query: Query,
    progress: ShardProgress,
    shared: SharedQueryState,
    now_ms: float,
) -> Wait:
    """Measure the wait since the oldest attempt in flight was sent."""
    oldest = progress.oldest_attempt()
    waited_ms = now_ms - oldest.sent_ms
    delay_ms = shared.hedge_delays.delay_ms(query.workload, progress.shard)
    unresponsive = is_owner_unresponsive(oldest, shared)
    return Wait(
        overdue=waited_ms >= delay_ms * _OVERDUE_FACTOR,
        unresponsive=unresponsive,
        owner_lost=(
            unresponsive and waited_ms >= owner_timeout_ms(query, shared)
        ),
    )


def is_straggler(shards: ScatterProgress, wait: Wait) -> bool:
    """Whether the shard is a straggler rather than slowed by overload.

    While one shard or at most a tenth of them are pending, each is a straggler.
    While at most half are pending, a shard is a straggler if its owner is
    unresponsive or the wait is overdue.  While more than half are pending,
    overload is the likely cause, so only a shard whose owner is lost counts.
    """
    if shards.pending <= max(1, shards.total * _MAX_STRAGGLER_FRACTION):
        return True
    if shards.pending <= shards.total / 2:
        return wait.unresponsive or wait.overdue
    return wait.owner_lost
