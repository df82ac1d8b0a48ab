"""What a stand-in backend server saw: its log and its maxima."""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from enum import Enum, unique
from typing import Any, Final, final

from .messages import CallBody

__all__ = ('Event', 'Gauge', 'Sighting', 'Witness', 'sighting_of')

_MAX_SIGHTINGS: Final = 200_000


@unique
class Event(Enum):
    """What happened to a call."""

    START = 'start'
    RUN = 'run'
    REFUSED = 'refused'


@final
@dataclass(frozen=True, slots=True)
class Sighting:
    """One event of one call, times monotonic."""

    at_ms: float
    event: str
    call: str
    request: str
    action_id: str
    customer: str
    priority: str
    shard: str
    reason: str = ''


def sighting_of(
    at_ms: float,
    event: Event,
    body: CallBody,
    reason: str,
) -> Sighting:
    """Describe what happened to a call."""
    return Sighting(
        at_ms=at_ms,
        event=event.value,
        call=body.call,
        request=body.request,
        action_id=body.action_id,
        customer=body.customer,
        priority=body.priority,
        shard=body.shard,
        reason=reason,
    )


@final
@dataclass(slots=True)
class Gauge:
    """How much of something is in use, and the most there ever was."""

    in_use: int = 0
    most: int = 0

    def note(self) -> None:
        """Keep the maximum."""
        self.most = max(self.most, self.in_use)

    @contextmanager
    def taken(self) -> Iterator[None]:
        """Count one more in use inside the block."""
        self.in_use += 1
        self.note()
        try:  # noqa: WPS501 -- the count is given back, errors pass
            yield
        finally:
            self.in_use -= 1


@final
class Witness:
    """The log and maxima of one server, bounded in size."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self.sightings: deque[Sighting] = deque(maxlen=_MAX_SIGHTINGS)
        self.slots = Gauge()
        self.queue = Gauge()
        self.connections = Gauge()
        self.refused_connections = 0
        self.opened_connections = 0
        self.starts = 0
        self.runs = 0

    def add(self, sighting: Sighting) -> None:
        """Log one event."""
        self.starts += sighting.event == Event.START.value
        self.runs += sighting.event == Event.RUN.value
        self.sightings.append(sighting)

    def describe(self) -> dict[str, Any]:
        """Give the maxima and counts, without the log itself."""
        return {
            'slots': asdict(self.slots),
            'queue': asdict(self.queue),
            'connections': asdict(self.connections),
            'opened_connections': self.opened_connections,
            'refused_connections': self.refused_connections,
            'starts': self.starts,
            'runs': self.runs,
        }

    def log(self) -> list[dict[str, Any]]:
        """Give the log as JSON objects, oldest first."""
        return [asdict(sighting) for sighting in self.sightings]
