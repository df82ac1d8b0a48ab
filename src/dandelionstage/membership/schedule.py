"""Schedules probes: the own data centre more often than the others."""

import random
from itertools import chain
from typing import Final, final

from ..model.ids import VmId
from .cycle import Cycle
from .messages import Identity
from .ranking import VmLists

__all__ = ('ProbeSchedule',)

#: Time from one probe of any VM in the own data centre to the next.
_SAME_DATA_CENTRE_PERIOD_MS: Final = 300

#: Time from one probe of any VM in another data centre to the next.
_OTHER_DATA_CENTRES_PERIOD_MS: Final = 1000

#: Each period varies by this fraction, so that VMs do not synchronise.
_JITTER_FRACTION: Final = 0.2

#: A longer time between two ticks means that the process was paused.
_PAUSE_MS: Final = 1000


class _PeriodicCycle:
    """Selects VMs in turn, one per period on average."""

    def __init__(self, period_ms: float, random_source: random.Random) -> None:
        self.cycle = Cycle(random_source)
        self._period_ms = period_ms
        self._random = random_source
        self._next_ms: float = 0

    def take_due(self, now_ms: float) -> VmId | None:
        if now_ms < self._next_ms:
            return None
        factor = self._random.uniform(
            1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION
        )
        self._next_ms = now_ms + self._period_ms * factor
        return self.cycle.next_vm()


@final
class ProbeSchedule:
    """Selects VMs to probe in turn, a constant number per second.

    :ivar fleet_size: number of published VMs.
    """

    def __init__(
        self,
        identity: Identity,
        random_source: random.Random,
    ) -> None:
        """Start without VMs."""
        self.fleet_size = 0
        self._identity = identity
        self._same_data_centre = _PeriodicCycle(
            _SAME_DATA_CENTRE_PERIOD_MS, random_source
        )
        self._other_data_centres = _PeriodicCycle(
            _OTHER_DATA_CENTRES_PERIOD_MS, random_source
        )
        self._last_tick_ms: float | None = None

    def replace_vms(self, lists: VmLists) -> None:
        """Replace the VMs to probe."""
        own = self._identity
        self.fleet_size = sum(map(len, lists.values()))
        same_data_centre = set(lists.get(own.data_centre, ())) - {own.vm}
        self._same_data_centre.cycle.replace_vms(
            tuple(sorted(same_data_centre))
        )
        other_lists = [
            vms
            for data_centre, vms in lists.items()
            if data_centre != own.data_centre
        ]
        self._other_data_centres.cycle.replace_vms(
            tuple(chain.from_iterable(other_lists))
        )

    def was_paused(self, now_ms: float) -> bool:
        """Return whether the process was paused since the last tick."""
        last_tick_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_tick_ms is None:
            return False
        return now_ms - last_tick_ms > _PAUSE_MS

    def due(self, now_ms: float) -> tuple[VmId, ...]:
        """Return the VMs to probe now."""
        due_vms = (
            self._same_data_centre.take_due(now_ms),
            self._other_data_centres.take_due(now_ms),
        )
        return tuple(vm for vm in due_vms if vm is not None)
