"""Selects the snapshot that every part of an answer must come from."""

from collections.abc import Collection
from typing import Final

from ..model.ids import BackendId, ShardId
from ..model.messages import Pin
from ..model.topology import Snapshot, Workload
from .held_snapshots import HeldSnapshots

__all__ = ('pin_of', 'select_snapshot')

_MISSING: Final = 0
_UNKNOWN: Final = 1
_HELD: Final = 2


def pin_of(snapshot: Snapshot) -> Pin:
    """Return the pin of a snapshot and its shard map."""
    return Pin(snapshot.snapshot, snapshot.shard_map_revision)


def select_snapshot(
    workload: Workload,
    held_snapshots: HeldSnapshots,
    excluded: Collection[Pin],
    now_ms: float,
) -> Snapshot | None:
    """Select the newest snapshot that is known to be held for every shard.

    If there is none, select the newest that is not known to be missing for
    any shard.  If there is none of these either, select the newest.

    :param excluded: pins that must not be selected.
    :returns: ``None`` if every published snapshot is excluded.
    """
    best: Snapshot | None = None
    best_rank = -1
    for snapshot in workload.snapshots:
        if pin_of(snapshot) in excluded:
            continue
        rank = _rank(snapshot, held_snapshots, now_ms)
        if rank == _HELD:
            return snapshot
        if rank > best_rank:
            best = snapshot
            best_rank = rank
    return best


def _rank(
    snapshot: Snapshot,
    held_snapshots: HeldSnapshots,
    now_ms: float,
) -> int:
    pin = pin_of(snapshot)
    return min(
        _rank_shard(shard, replicas, pin, held_snapshots, now_ms)
        for shard, replicas in snapshot.shards.items()
    )


def _rank_shard(
    shard: ShardId,
    replicas: tuple[BackendId, ...],
    pin: Pin,
    held_snapshots: HeldSnapshots,
    now_ms: float,
) -> int:
    held = {
        held_snapshots.holds(replica, shard, pin, now_ms)
        for replica in replicas
    }
    if True in held:
        return _HELD
    return _UNKNOWN if None in held else _MISSING
