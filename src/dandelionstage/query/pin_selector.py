"""The pins of one query: the first and any later one."""

from typing import Final, final

from ..model.messages import Pin
from ..model.topology import Snapshot
from .messages import Query
from .snapshot_selection import choose_snapshot, pin_of
from .shared_state import SharedQueryState

__all__ = ('Pins',)

#: Pins that one query may try, the first one included.
_MAX_PINS: Final = 3


@final
class Pins:
    """Chooses pins, never the same one twice."""

    def __init__(self, query: Query, tools: SharedQueryState) -> None:
        """Start without a pin."""
        self._query = query
        self._tools = tools
        self._tried: list[Pin] = []

    def choose(self, now_ms: float) -> Snapshot | None:
        """Choose a pin, ``None`` if no published snapshot is left."""
        workload = self._tools.workload_of(self._query.workload)
        if workload is None:
            return None
        snapshot = choose_snapshot(
            workload,
            self._tools.held,
            self._tried,
            now_ms,
        )
        if snapshot is not None:
            self._tried.append(pin_of(snapshot))
        return snapshot

    def choose_again(self, now_ms: float) -> Snapshot | None:
        """Choose another pin if time allows to start the query again."""
        needed_ms = self._tools.delays.typical_ms(self._query.workload)
        too_late = now_ms + needed_ms >= self._query.deadline_ms
        if too_late or len(self._tried) >= _MAX_PINS:
            return None
        return self.choose(now_ms)
