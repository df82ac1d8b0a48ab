"""Remembers which backend server holds which snapshots."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from ..model.ids import BackendId, SnapshotId

__all__ = ('HeldSnapshots',)

#: After this long without word of it a backend server may hold anything.
_FRESH_MS: Final = 30_000


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

    def learn(
        self,
        backend: BackendId,
        snapshots: Iterable[SnapshotId],
        now_ms: float,
    ) -> None:
        """Take a backend server's latest word."""
        self._backends[backend] = _Held(frozenset(snapshots), now_ms)

    def holds(
        self,
        backend: BackendId,
        snapshot: SnapshotId,
        now_ms: float,
    ) -> bool | None:
        """Say whether it holds the snapshot, ``None`` when not known."""
        held = self._backends.get(backend)
        if held is None or now_ms - held.heard_ms > _FRESH_MS:
            return None
        return snapshot in held.snapshots
