"""A queue of rumours to be sent with probes."""

import math
from heapq import nsmallest
from operator import attrgetter
from typing import Final, final

from ..model.ids import VmId
from .messages import Rumour

__all__ = ('RumourQueue',)

#: Rumours per datagram, so that its size does not grow with the fleet.
_RUMOURS_PER_PROBE: Final = 3

#: Each rumour is sent this number times log2 of the fleet size, so that it
#: reaches the fleet.
_REPEAT_FACTOR: Final = 3


class _QueuedRumour:
    def __init__(self, rumour: Rumour) -> None:
        self.rumour = rumour
        self.sent = 0


@final
class RumourQueue:
    """Selects the least-sent rumours and limits how often each is sent."""

    def __init__(self) -> None:
        """Start empty."""
        self._queued: dict[VmId, _QueuedRumour] = {}

    def __len__(self) -> int:
        """Return the number of queued rumours."""
        return len(self._queued)

    def add(self, rumour: Rumour) -> None:
        """Add a rumour, replacing an earlier one about the same VM."""
        self._queued[rumour.vm] = _QueuedRumour(rumour)

    def take(self, fleet_size: int) -> tuple[Rumour, ...]:
        """Return the rumours for one datagram.

        :param fleet_size: number of VMs that a rumour has to reach.
        """
        queued = self._queued
        if not queued:
            return ()
        chosen = nsmallest(
            _RUMOURS_PER_PROBE,
            queued.values(),
            key=attrgetter('sent'),
        )
        limit = _REPEAT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        for item in chosen:
            item.sent += 1
            if item.sent >= limit:
                queued.pop(item.rumour.vm)
        return tuple(each.rumour for each in chosen)
