"""Tracks which snapshots and shards each backend server holds."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from ..model.ids import BackendId, ShardId, SnapshotId
from ..model.messages import Pin

__all__ = ('HeldSnapshots',)

#: How long a backend server's report counts.  After that, it is not known
#: which snapshots the server holds.
_REPORT_TTL_MS: Final = 30_000
#: How long a shard reported as missing counts as missing.
_MISSING_TTL_MS: Final = 5000


@final
@dataclass(frozen=True, slots=True)
class _Report:
    """The snapshots that a backend server held at a time."""

    snapshots: frozenset[SnapshotId]
    received_ms: float


@final
class HeldSnapshots:
    """The latest reports of backend servers on the snapshots they hold.

    They only guide the choice of a pin: a wrong entry causes a restart, never
    a wrong answer.
    """

    def __init__(self) -> None:
        """Start without any report."""
        self._reports: dict[BackendId, _Report] = {}
        self._reported_missing_ms: dict[
            tuple[BackendId, ShardId, Pin], float
        ] = {}

    def update(
        self,
        backend: BackendId,
        snapshots: Iterable[SnapshotId],
        now_ms: float,
    ) -> None:
        """Replace the report of a backend server."""
        self._reports[backend] = _Report(frozenset(snapshots), now_ms)

    def mark_missing(
        self,
        backend: BackendId,
        shard: ShardId,
        pin: Pin,
        now_ms: float,
    ) -> None:
        """Record that a backend server does not hold a shard under a pin."""
        self._reported_missing_ms = {
            key: reported_ms
            for key, reported_ms in self._reported_missing_ms.items()
            if now_ms - reported_ms <= _MISSING_TTL_MS
        }
        self._reported_missing_ms[backend, shard, pin] = now_ms

    def holds(
        self,
        backend: BackendId,
        shard: ShardId,
        pin: Pin,
        now_ms: float,
    ) -> bool | None:
        """Whether a backend server holds a shard under a pin.

        :returns: ``None`` if it is not known.
        """
        reported_ms = self._reported_missing_ms.get((backend, shard, pin))
        if reported_ms is not None and now_ms - reported_ms <= _MISSING_TTL_MS:
            return False
        report = self._reports.get(backend)
        if report is None or now_ms - report.received_ms > _REPORT_TTL_MS:
            return None
        return pin.snapshot in report.snapshots
