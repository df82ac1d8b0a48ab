"""Rumours that wait to ride on probes."""

import math
from heapq import nsmallest
from operator import attrgetter
from typing import Final, final

from ..model.ids import VmId
from .messages import Rumour

__all__ = ('RumourQueue',)

#: Rumours in one datagram, so that its size does not grow with the fleet.
_PER_PROBE: Final = 3

#: Each rumour is sent this many times the logarithm of the fleet's size.
_REPEAT_FACTOR: Final = 3


class _Waiting:
    def __init__(self, rumour: Rumour) -> None:
        self.rumour = rumour
        self.sent = 0


@final
class RumourQueue:
    """Picks the rumours sent least often; each is sent a bounded number."""

    def __init__(self) -> None:
        """Start with nothing to tell."""
        self._waiting: dict[VmId, _Waiting] = {}

    def __len__(self) -> int:
        """Count the VMs that there is something to tell of."""
        return len(self._waiting)

    def add(self, rumour: Rumour) -> None:
        """Tell this of a VM from now on, in place of what was told."""
        self._waiting[rumour.vm] = _Waiting(rumour)

    def pick(self, fleet_size: int) -> tuple[Rumour, ...]:
        """Take the rumours for one datagram.

        :param fleet_size: VMs that a rumour has to reach.
        """
        waiting = self._waiting
        if not waiting:
            return ()
        chosen = nsmallest(
            _PER_PROBE,
            waiting.values(),
            key=attrgetter('sent'),
        )
        limit = _REPEAT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        for item in chosen:
            item.sent += 1
            if item.sent >= limit:
                waiting.pop(item.rumour.vm)
        return tuple(told.rumour for told in chosen)
