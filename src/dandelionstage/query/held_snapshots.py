"""Remembers which backend server holds which snapshots and shards."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from ..model.ids import BackendId, ShardId, SnapshotId
from ..model.messages import Pin

__all__ = ('HeldSnapshots',)

#: After this long without word of it a backend server may hold anything.
_FRESH_MS: Final = 30_000
#: How long a shard that was lacking is taken to be still lacking.
_LACKING_MS: Final = 5000


@final
@dataclass(frozen=True, slots=True)
class _Held:
    snapshots: frozenset[SnapshotId]
    heard_ms: float


@final
class HeldSnapshots:
    """What backend servers last said of the snapshots they hold.

    It only guides the choice of a pin: a wrong entry costs a restart, never
    a wrong answer.
    """

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._backends: dict[BackendId, _Held] = {}
        self._lacking_ms: dict[tuple[BackendId, ShardId, Pin], float] = {}

    def learn(
        self,
        backend: BackendId,
        snapshots: Iterable[SnapshotId],
        now_ms: float,
    ) -> None:
        """Take a backend server's latest word."""
        self._backends[backend] = _Held(frozenset(snapshots), now_ms)

    def note_lacking(
        self,
        backend: BackendId,
        shard: ShardId,
        pin: Pin,
        now_ms: float,
    ) -> None:
        """Note that a backend server does not hold a shard under a pin."""
        self._lacking_ms = {
            key: lacking_ms
            for key, lacking_ms in self._lacking_ms.items()
            if now_ms - lacking_ms <= _LACKING_MS
        }
        self._lacking_ms[backend, shard, pin] = now_ms

    def holds(
        self,
        backend: BackendId,
        shard: ShardId,
        pin: Pin,
        now_ms: float,
    ) -> bool | None:
        """Say whether it holds a shard of a pin, ``None`` if not known."""
        lacking_ms = self._lacking_ms.get((backend, shard, pin))
        if lacking_ms is not None and now_ms - lacking_ms <= _LACKING_MS:
            return False
        held = self._backends.get(backend)
        if held is None or now_ms - held.heard_ms > _FRESH_MS:
            return None
        return pin.snapshot in held.snapshots
