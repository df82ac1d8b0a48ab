"""Chooses the snapshot that every part of an answer must come from."""

from collections.abc import Collection
from typing import Final

from ..model.ids import BackendId, ShardId
from ..model.messages import Pin
from ..model.topology import Snapshot, Workload
from .held_snapshots import HeldSnapshots

__all__ = ('choose_snapshot', 'pin_of')

_LACKING: Final = 0
_UNKNOWN: Final = 1
_HELD: Final = 2


def pin_of(snapshot: Snapshot) -> Pin:
    """Name a snapshot together with its shard map."""
    return Pin(snapshot.snapshot, snapshot.shard_map_revision)


def choose_snapshot(
    workload: Workload,
    held: HeldSnapshots,
    given_up: Collection[Pin],
    now_ms: float,
) -> Snapshot | None:
    """Choose the newest snapshot that every shard is known to hold.

    Failing that the newest that no shard is known to lack, and failing that
    the newest.

    :param given_up: pins not to be tried again.
    :returns: ``None`` when every published snapshot was given up.
    """
    best: Snapshot | None = None
    best_rank = -1
    for snapshot in workload.snapshots:
        if pin_of(snapshot) in given_up:
            continue
        rank = _rank(snapshot, held, now_ms)
        if rank == _HELD:
            return snapshot
        if rank > best_rank:
            best = snapshot
            best_rank = rank
    return best


def _rank(snapshot: Snapshot, held: HeldSnapshots, now_ms: float) -> int:
    pin = pin_of(snapshot)
    return min(
        _rank_shard(shard, replicas, pin, held, now_ms)
        for shard, replicas in snapshot.shards.items()
    )


def _rank_shard(
    shard: ShardId,
    replicas: tuple[BackendId, ...],
    pin: Pin,
    held: HeldSnapshots,
    now_ms: float,
) -> int:
    said = {held.holds(replica, shard, pin, now_ms) for replica in replicas}
    if True in said:
        return _HELD
    return _UNKNOWN if None in said else _LACKING
