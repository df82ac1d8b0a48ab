"""Picks the owner for the next attempt at a shard."""

from collections import Counter
from collections.abc import Sequence

from ..routing.targets import Target
from .messages import Query
from .patience import find_patience_ms, is_owner_silent
from .shard import ShardProgress
from .tools import QueryTools

__all__ = ('pick_first', 'pick_hedge', 'pick_next', 'pick_retry')


def pick_first(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
    now_ms: float,
) -> tuple[Target, ...]:
    """Pick the best owner, and at times a slow place to be asked beside it."""
    ranked = _rank(query, progress, tools)
    target = _choose(query, ranked, tools, now_ms)
    if target is None:
        return ()
    typical_ms = tools.delays.typical_ms(query.workload)
    if not tools.times.has_slow(typical_ms):
        return (target,)
    for other in ranked:
        key = other.owner_key
        if key == target.owner_key or not tools.times.is_slow(key, typical_ms):
            continue
        if tools.times.claim_probe(key, now_ms):
            return target, other
    return (target,)


def pick_next(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
    now_ms: float,
) -> Target | None:
    """Pick the best owner, one that looks silent only if there is no other."""
    return _choose(query, _rank(query, progress, tools), tools, now_ms)


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


def _choose(
    query: Query,
    ranked: Sequence[Target],
    tools: QueryTools,
    now_ms: float,
) -> Target | None:
    for target in ranked:
        silent_ms = tools.owners.silent_ms(target.vm, now_ms)
        if not silent_ms or silent_ms <= find_patience_ms(query, tools):
            return target
    return ranked[0] if ranked else None


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
