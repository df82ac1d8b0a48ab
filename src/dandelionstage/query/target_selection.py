"""Selects the target of the next attempt at a shard."""

from collections import Counter
from collections.abc import Sequence

from ..routing.targets import Target
from .messages import Query
from .owner_timeout import is_owner_unresponsive, owner_timeout_ms
from .shard_progress import ShardProgress
from .shared_state import SharedQueryState

__all__ = ('select_first', 'select_hedge', 'select_next', 'select_retry')


def select_first(
    query: Query,
    progress: ShardProgress,
    shared: SharedQueryState,
    now_ms: float,
) -> tuple[Target, ...]:
    """Select the best target and, if due, one in a slow data centre to probe.

    :returns: the best target and the one to probe, if any; empty if the
        shard has no usable replica.
    """
    ranked = _rank(query, progress, shared)
    target = _choose(query, ranked, shared, now_ms)
    if target is None:
        return ()
    typical_ms = shared.hedge_delays.typical_ms(query.workload)
    if not shared.answer_times.has_slow(typical_ms):
        return (target,)
    for other in ranked:
        key = other.owner_key
        if key == target.owner_key or not shared.answer_times.is_slow(
            key, typical_ms
        ):
            continue
        if shared.answer_times.claim_probe(key, now_ms):
            return target, other
    return (target,)


def select_next(
    query: Query,
    progress: ShardProgress,
    shared: SharedQueryState,
    now_ms: float,
) -> Target | None:
    """Select the best target, a lost owner only if there is no other."""
    return _choose(query, _rank(query, progress, shared), shared, now_ms)


def select_retry(
    query: Query,
    progress: ShardProgress,
    shared: SharedQueryState,
    now_ms: float,
) -> Target | None:
    """Select the best target, clearing exclusions if none is left."""
    target = select_next(query, progress, shared, now_ms)
    if target is None:
        progress.reset_exclusions()
        target = select_next(query, progress, shared, now_ms)
    return target


def select_hedge(
    query: Query,
    progress: ShardProgress,
    shared: SharedQueryState,
    now_ms: float,
) -> Target | None:
    """Select the target of a hedge, which should reach another replica.

    A responsive owner knows which replicas are working on its attempts and
    tries another one, as long as it has one.  It is excluded once it has as
    many attempts in flight as replicas.  An unresponsive owner is excluded at
    once.
    """
    in_flight = Counter(
        attempt.target for attempt in progress.in_flight.values()
    )
    for target, attempts in in_flight.items():
        if attempts >= len(target.replicas):
            progress.busy_data_centres.add(target.owner_key.data_centre)
            progress.exclude_owner(target.vm)
    for attempt in progress.in_flight.values():
        if is_owner_unresponsive(attempt, shared):
            progress.exclude_owner(attempt.target.vm)
    return select_next(query, progress, shared, now_ms)


def _choose(
    query: Query,
    ranked: Sequence[Target],
    shared: SharedQueryState,
    now_ms: float,
) -> Target | None:
    """Return the first target whose owner is not lost, else the first."""
    for target in ranked:
        silent_ms = shared.owners.silent_ms(target.vm, now_ms)
        if not silent_ms or silent_ms <= owner_timeout_ms(query, shared):
            return target
    return ranked[0] if ranked else None


def _rank(
    query: Query,
    progress: ShardProgress,
    shared: SharedQueryState,
) -> Sequence[Target]:
    """Rank the targets, slow data centres after the others."""
    targets = shared.route(
        query.workload,
        progress.shard,
        progress.replicas,
        progress.excluded_replicas,
    )
    ranked = progress.rank(targets)
    typical_ms = shared.hedge_delays.typical_ms(query.workload)
    if not shared.answer_times.has_slow(typical_ms):
        return ranked
    return sorted(
        ranked,
        key=lambda target: shared.answer_times.is_slow(
            target.owner_key, typical_ms
        ),
    )
