"""What an owner holds at any moment."""

from dataclasses import dataclass, field
from typing import Final, final

from ..limits.slot_use import SlotHold
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.ids import BackendId, CallId, VmId
from .backend_state import BackendState
from .backends import Backends
from .lanes import Lanes

__all__ = ('Attempt', 'OwnerState')

#: No work starts on a borrowed slot that has to be given back sooner.
_SHORTEST_USE_MS: Final = 200.0
#: Nor if it might take this many times as long as expected.
_SAFE_TIMES: Final = 3


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """Work that was started at a backend server.

    :ivar hold: its slot.
    :ivar started_ms: when.
    :ivar cancelled: the entry wants no answer any more.
    """

    waiting: QueuedSubRequest
    backend: BackendId
    hold: SlotHold
    started_ms: float
    cancelled: bool = False


@final
@dataclass(frozen=True, slots=True)
class OwnerState:
    """The parts that the owner's decisions share.

    :ivar vm: the owner itself.
    :ivar backends: the servers it may use.
    :ivar lanes: the work that waits.
    :ivar attempts: the work that runs.
    """

    vm: VmId
    backends: Backends
    lanes: Lanes = field(default_factory=Lanes)
    attempts: dict[CallId, Attempt] = field(default_factory=dict)

    def server(self, backend: BackendId) -> BackendState:
        """Return what is known of a server that has or had work."""
        return self.backends.states[backend]

    def find_slot(self, backend: BackendId, now_ms: float) -> SlotHold | None:
        """Find a slot of a server that may start work right now."""
        found = self.server(backend)
        in_use = found.slots.use.total(now_ms)
        if in_use >= self.backends.allowed(backend, now_ms):
            return None
        expected_ms = found.service_time.expected_ms(now_ms)
        shortest_ms = max(_SHORTEST_USE_MS, expected_ms * _SAFE_TIMES)
        return found.slots.find_slot(shortest_ms, now_ms)

    def finish_ms(self, backend: BackendId, ahead: int, now_ms: float) -> float:
        """Estimate when work would end at a server behind other work."""
        allowed = self.backends.allowed(backend, now_ms)
        if not allowed:
            return float('inf')
        service_time = self.server(backend).service_time
        return service_time.expected_ms(now_ms) * (1 + ahead / allowed)
