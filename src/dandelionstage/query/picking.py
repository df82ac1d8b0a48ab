"""Picks the owner for the next attempt at a shard."""

from collections import Counter
from collections.abc import Sequence
from typing import Final

from ..routing.targets import Target
from .messages import Query
from .shard import Attempt, ShardProgress
from .tools import QueryTools

__all__ = (
    'find_patience_ms',
    'is_owner_silent',
    'pick_hedge',
    'pick_next',
    'pick_retry',
    'pick_slow',
)

#: An owner may take this many times longer than most shards, and at least
#: the least patience, before it counts as silent.
_PATIENCE_FACTOR: Final = 4
_LEAST_PATIENCE_MS: Final = 100


def pick_next(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
    now_ms: float,
) -> Target | None:
    """Pick the best owner, one that looks silent only if there is no other."""
    ranked = _rank(query, progress, tools)
    for target in ranked:
        silent_ms = tools.owners.silent_ms(target.vm, now_ms)
        if not silent_ms or silent_ms <= find_patience_ms(query, tools):
            return target
    return next(iter(ranked), None)


def pick_slow(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
    now_ms: float,
) -> Target | None:
    """Pick a slow place that is due to be asked again, beside a faster one."""
    typical_ms = tools.delays.typical_ms(query.workload)
    if not tools.times.has_slow(typical_ms):
        return None
    for target in _rank(query, progress, tools)[1:]:
        key = target.owner_key
        if not tools.times.is_slow(key, typical_ms):
            continue
        if tools.times.ask_again(key, now_ms):
            return target
    return None


def pick_retry(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
    now_ms: float,
) -> Target | None:
    """Pick an owner even if something spoke against each of them."""
    target = pick_next(query, progress, tools, now_ms)
    if target is None:
        progress.forgive()
        target = pick_next(query, progress, tools, now_ms)
    return target


def pick_hedge(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
    now_ms: float,
) -> Target | None:
    """Pick by whom another replica is to be asked.

    An owner that is alive knows which replicas hold up its attempts and picks
    another one, while it has any; a silent owner is left out.
    """
    out = Counter(attempt.target for attempt in progress.out.values())
    for target, attempts in out.items():
        if attempts >= len(target.replicas):
            progress.busy.add(target.owner_key.data_centre)
            progress.shun(target.vm)
    for attempt in progress.out.values():
        if is_owner_silent(attempt, tools):
            progress.shun(attempt.target.vm)
    return pick_next(query, progress, tools, now_ms)


def is_owner_silent(attempt: Attempt, tools: QueryTools) -> bool:
    """Whether the owner said nothing, to any query, since the attempt."""
    return not tools.owners.heard_since(attempt.target.vm, attempt.sent_ms)


def find_patience_ms(query: Query, tools: QueryTools) -> float:
    """Return how long an owner may say nothing before it counts as lost."""
    typical_ms = tools.delays.typical_ms(query.workload)
    return max(_LEAST_PATIENCE_MS, typical_ms * _PATIENCE_FACTOR)


def _rank(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
) -> Sequence[Target]:
    """Order the owners, those of slow replicas behind the others."""
    targets = tools.route(
        query.workload,
        progress.shard,
        progress.replicas,
        progress.avoid,
    )
    ranked = progress.rank(targets)
    typical_ms = tools.delays.typical_ms(query.workload)
    if not tools.times.has_slow(typical_ms):
        return ranked
    return sorted(
        ranked,
        key=lambda target: tools.times.is_slow(target.owner_key, typical_ms),
    )
