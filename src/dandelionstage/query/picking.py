"""Picks the owner for the next attempt at a shard."""

from ..routing.targets import Target
from .messages import Query
from .shard import ShardProgress
from .tools import QueryTools

__all__ = ('pick_hedge', 'pick_next', 'pick_retry')


def pick_next(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
) -> Target | None:
    """Pick the best owner that nothing speaks against."""
    targets = tools.route(
        query.workload,
        progress.shard,
        progress.replicas,
        progress.avoid,
    )
    return progress.pick(targets)


def pick_retry(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
) -> Target | None:
    """Pick an owner even if something spoke against each of them."""
    target = pick_next(query, progress, tools)
    if target is None:
        progress.forgive()
        target = pick_next(query, progress, tools)
    return target


def pick_hedge(
    query: Query,
    progress: ShardProgress,
    tools: QueryTools,
) -> Target | None:
    """Pick by whom another replica is to be asked.

    An owner that is alive knows which replica holds up its first attempt
    and picks another one; a silent owner is left out.
    """
    first = next(iter(progress.out.values()))
    vm = first.target.vm
    if not tools.owners.heard_since(vm, first.sent_ms):
        progress.shun(vm)
    elif len(first.target.replicas) == 1:
        progress.avoid |= frozenset(first.target.replicas)
    return pick_next(query, progress, tools)
