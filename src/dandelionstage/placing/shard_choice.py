"""Selection of the shards that a query skips while servers are overloaded."""

from random import Random
from typing import Any

from ..catalog.routes import Gather, ServiceId
from .replicas import Replica, Replicas

__all__ = (
    'choose_skipped_shards',
    'is_limited',
    'is_unservable',
    'quiet_left_ms',
    'should_skip',
    'unreachable_shards',
)


def should_skip(replica: Replica[Any], now_ms: float, random: Random) -> bool:
    """Decide at random whether to skip one request to an overloaded server."""
    return random.random() < replica.throttle.skip_probability(now_ms)


def choose_skipped_shards(
    gather: Gather,
    replicas: Replicas[Any],
    now_ms: float,
    random: Random,
) -> frozenset[ServiceId]:
    """Choose shards to skip, at most as many as the answer can lack.

    When several shards are too overloaded to answer every query in time, each
    query asks only as many of them as it needs.  More queries succeed this
    way than if each query asked all shards.
    """
    max_skipped = len(gather.shards) - gather.least_parts
    overloaded: list[Replica[Any]] = []
    for shard in gather.shards:
        known = replicas.for_service(shard)
        if not known:
            # The answer lacks this shard in any case.
            max_skipped -= 1
        elif any(replica.throttle.may_skip for replica in known):
            overloaded.extend(_overloaded_choice(shard, replicas, now_ms))
    if len(overloaded) <= max_skipped:
        # The answer is complete enough without any of them, so asking them
        # all can only add to it.
        return frozenset()
    random.shuffle(overloaded)
    skipped = [
        replica
        for replica in overloaded
        if should_skip(replica, now_ms, random)
    ]
    return frozenset(
        replica.record.service for replica in skipped[: max(0, max_skipped)]
    )


def _overloaded_choice(
    shard: ServiceId, replicas: Replicas[Any], now_ms: float
) -> list[Replica[Any]]:
    """Return the replica chosen for a shard if it is overloaded."""
    best = replicas.choose(shard, now_ms)
    if best is None or not best.throttle.skip_probability(now_ms):
        return []
    return [best]


def is_unservable(gather: Gather, replicas: Replicas[Any]) -> bool:
    """Whether too many shards have no usable server at all."""
    without_server = sum(
        not replicas.for_service(shard) for shard in gather.shards
    )
    return without_server > len(gather.shards) - gather.least_parts


def is_limited(gather: Gather, replicas: Replicas[Any], now_ms: float) -> bool:
    """Whether too many shards have no server that may be sent to now."""
    refused = sum(replicas.is_refused(shard, now_ms) for shard in gather.shards)
    return refused > len(gather.shards) - gather.least_parts


def quiet_left_ms(
    gather: Gather, replicas: Replicas[Any], now_ms: float
) -> float:
    """Return how long too many shards have only servers that ask for quiet.

    :returns: 0 if enough shards have others.
    """
    left_ms = sorted(
        replicas.quiet_left_ms(shard, now_ms) for shard in gather.shards
    )
    return left_ms[gather.least_parts - 1] if gather.least_parts else 0


def unreachable_shards(
    gather: Gather, replicas: Replicas[Any], now_ms: float
) -> tuple[ServiceId, ...]:
    """List the shards without a reachable server if they prevent an answer.

    :returns: an empty tuple while an answer is possible without them.
    """
    unresponsive = tuple(
        shard
        for shard in gather.shards
        if replicas.is_unresponsive(shard, now_ms)
    )
    max_lacking = len(gather.shards) - gather.least_parts
    return unresponsive if len(unresponsive) > max_lacking else ()
