"""Whom to probe and when: the own data centre densely, others sparsely."""

import random
from itertools import chain
from typing import Final, final

from ..model.ids import VmId
from .cycle import Cycle
from .messages import Identity
from .ranking import VmLists

__all__ = ('ProbeSchedule',)

#: Between two probes of VMs in the own data centre.
_NEAR_PERIOD_MS: Final = 300

#: Between two probes of VMs in the other data centres.
_FAR_PERIOD_MS: Final = 1000

#: Each period is varied by this share, so that VMs do not act in step.
_JITTER: Final = 0.2

#: Ticks further apart mean that the process was paused.
_PAUSE_MS: Final = 1000


class _Round:
    def __init__(self, period_ms: float, random_source: random.Random) -> None:
        self.cycle = Cycle(random_source)
        self._period_ms = period_ms
        self._random = random_source
        self._next_ms: float = 0

    def take(self, now_ms: float) -> VmId | None:
        if now_ms < self._next_ms:
            return None
        factor = self._random.uniform(1 - _JITTER, 1 + _JITTER)
        self._next_ms = now_ms + self._period_ms * factor
        return self.cycle.take()


@final
class ProbeSchedule:
    """Takes VMs in turn, a constant number per second.

    :ivar fleet_size: VMs published.
    """

    def __init__(
        self,
        identity: Identity,
        random_source: random.Random,
    ) -> None:
        """Start with nobody to probe."""
        self.fleet_size = 0
        self._identity = identity
        self._near = _Round(_NEAR_PERIOD_MS, random_source)
        self._far = _Round(_FAR_PERIOD_MS, random_source)
        self._last_tick_ms: float | None = None

    def use(self, lists: VmLists) -> None:
        """Probe the VMs of these lists from now on."""
        own = self._identity
        self.fleet_size = sum(map(len, lists.values()))
        near = set(lists.get(own.data_centre, ())) - {own.vm}
        self._near.cycle.use(tuple(sorted(near)))
        elsewhere = [
            vms
            for data_centre, vms in lists.items()
            if data_centre != own.data_centre
        ]
        self._far.cycle.use(tuple(chain.from_iterable(elsewhere)))

    def paused(self, now_ms: float) -> bool:
        """Say whether the process was paused since the last tick."""
        last_tick_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_tick_ms is None:
            return False
        return now_ms - last_tick_ms > _PAUSE_MS

    def due(self, now_ms: float) -> tuple[VmId, ...]:
        """List the VMs to probe now."""
        turns = (self._near.take(now_ms), self._far.take(now_ms))
        return tuple(vm for vm in turns if vm is not None)
