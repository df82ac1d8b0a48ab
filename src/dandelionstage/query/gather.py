"""Merges the parts of one snapshot and computes their coverage."""

from typing import final

from ..model.coverage import Coverage
from ..model.ids import RecordId, ShardId
from ..model.messages import Part, Record
from ..model.topology import Snapshot
from ..model.verdict import Reason
from .snapshot_selection import pin_of

__all__ = ('Gather',)


@final
class Gather:
    """The merged parts of one query, all under the same pin.

    A query that restarts under another pin has a gather for each pin.

    :param snapshot: the pinned snapshot; coverage is measured against its
        shard map alone.
    :ivar pin: the pin that every part must carry.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        """Start without any part."""
        self._snapshot = snapshot
        self.pin = pin_of(snapshot)
        self._parts: dict[ShardId, Part] = {}

    @property
    def snapshot(self) -> Snapshot:
        """The pinned snapshot."""
        return self._snapshot

    def merge(self, part: Part, shard: ShardId) -> Reason:
        """Merge a part if it matches the attempt it answers.

        :param shard: the shard that the attempt was for.
        :returns: ``OK``, or why the part was dropped.
        """
        reason = self._check(part, shard)
        if reason is Reason.OK:
            self._parts[shard] = part
        return reason

    def fraction(self) -> float:
        """Return the share of pinned shards that are merged, 0 to 1."""
        return len(self._parts) / len(self._snapshot.shards)

    def coverage(self) -> Coverage:
        """Return which shards of the pinned shard map are merged."""
        missing = tuple(
            sorted(
                shard
                for shard in self._snapshot.shards
                if shard not in self._parts
            ),
        )
        return Coverage(len(self._snapshot.shards) - len(missing), missing)

    def records(self) -> tuple[Record, ...]:
        """List each record once, in the order of the shard map.

        While shards are split or moved, two of them may hold the same record.
        """
        found: dict[RecordId, Record] = {}
        for shard in self._snapshot.shards:
            part = self._parts.get(shard)
            if part is None:
                continue
            for record in part.records:
                found.setdefault(record.record, record)
        return tuple(found.values())

    def _check(self, part: Part, shard: ShardId) -> Reason:
        if part.pin != self.pin:
            return Reason.SNAPSHOT_MISMATCH
        if part.shard != shard or shard in self._parts:
            return Reason.BAD_REPLY
        if part.backend not in self._snapshot.shards[shard]:
            return Reason.BAD_REPLY
        return Reason.OK
