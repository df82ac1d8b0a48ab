"""Which shards of a query are better not asked when servers are overloaded."""

from random import Random
from typing import Any

from ..catalog.routes import Gather, ServiceId
from .replicas import Replica, Replicas

__all__ = ('should_skip', 'choose_skipped_shards', 'unreachable_shards')


def should_skip(replica: Replica[Any], now_ms: float, random: Random) -> bool:
    """Draw whether a server is spared one request."""
    return random.random() < replica.throttle.skip_probability(now_ms)


def choose_skipped_shards(
    gather: Gather,
    replicas: Replicas[Any],
    now_ms: float,
    random: Random,
) -> frozenset[ServiceId]:
    """Choose shards to leave out, never more than the answer can lack.

    Where several shards can answer only a part of all queries in time, each
    query asks as many of them as it needs: together they then serve more
    queries than if each query asked them all.
    """
    may_lack = len(gather.shards) - gather.least_parts
    overloaded: list[Replica[Any]] = []
    for shard in gather.shards:
        known = replicas.for_service(shard)
        if not known:
            may_lack -= 1
        elif any(replica.throttle.may_skip for replica in known):
            overloaded.extend(_skippable(shard, replicas, now_ms))
    if len(overloaded) <= may_lack:
        # Whatever they answer in time only adds to the answer.
        return frozenset()
    random.shuffle(overloaded)
    skipped = [each for each in overloaded if should_skip(each, now_ms, random)]
    return frozenset(
        each.record.service for each in skipped[: max(0, may_lack)]
    )


def _skippable(
    shard: ServiceId, replicas: Replicas[Any], now_ms: float
) -> list[Replica[Any]]:
    best = replicas.choose(shard, now_ms)
    if best is None or not best.throttle.skip_probability(now_ms):
        return []
    return [best]


def unreachable_shards(
    gather: Gather, replicas: Replicas[Any], now_ms: float
) -> tuple[ServiceId, ...]:
    """List the shards that no server can be reached of.

    :returns: nothing while an answer is possible without them.
    """
    silent = tuple(
        shard
        for shard in gather.shards
        if replicas.is_unresponsive(shard, now_ms)
    )
    may_lack = len(gather.shards) - gather.least_parts
    return silent if len(silent) > may_lack else ()
