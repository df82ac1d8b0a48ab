"""Selects the first pin of a query and the pins of its restarts."""

from typing import Final, final

from ..model.messages import Pin
from ..model.topology import Snapshot
from .messages import Query
from .shared_state import SharedQueryState
from .snapshot_selection import pin_of, select_snapshot

__all__ = ('PinSelector',)

#: Pins that one query may try, including the first one.
_MAX_PINS: Final = 3


@final
class PinSelector:
    """Selects the pins of one query, each at most once."""

    def __init__(self, query: Query, shared: SharedQueryState) -> None:
        """Start without a pin."""
        self._query = query
        self._shared = shared
        self._tried: list[Pin] = []

    def select(self, now_ms: float) -> Snapshot | None:
        """Select a published snapshot that this query has not tried yet.

        :returns: ``None`` if there is none or the workload is not published.
        """
        workload = self._shared.workload_of(self._query.workload)
        if workload is None:
            return None
        snapshot = select_snapshot(
            workload,
            self._shared.held_snapshots,
            self._tried,
            now_ms,
        )
        if snapshot is not None:
            self._tried.append(pin_of(snapshot))
        return snapshot

    def select_next(self, now_ms: float) -> Snapshot | None:
        """Select a snapshot for a restart of the query.

        :returns: ``None`` if no other pin is left, if the query has tried the
            maximum number of pins, or if the deadline is nearer than the
            typical answer time of the workload.
        """
        needed_ms = self._shared.hedge_delays.typical_ms(self._query.workload)
        too_late = now_ms + needed_ms >= self._query.deadline_ms
        if too_late or len(self._tried) >= _MAX_PINS:
            return None
        return self.select(now_ms)
