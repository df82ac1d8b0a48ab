"""What an owner holds at any moment."""

from dataclasses import dataclass, field
from typing import final

from ..limits.waiting import Waiting
from ..model.ids import BackendId, CallId, VmId
from .backend_state import BackendState
from .backends import Backends
from .lanes import Lanes

__all__ = ('Attempt', 'OwnerState')


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """Work that was started at a backend server.

    :ivar started_ms: when.
    :ivar cancelled: the entry wants no answer any more.
    """

    waiting: Waiting
    backend: BackendId
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

    def is_open(self, backend: BackendId, now_ms: float) -> bool:
        """Say whether a server has a free slot for this VM right now."""
        allowed = self.backends.allowed(backend, now_ms)
        return self.server(backend).slots.in_use(now_ms) < allowed

    def finish_ms(self, backend: BackendId, ahead: int, now_ms: float) -> float:
        """Estimate when work would end at a server behind other work."""
        allowed = self.backends.allowed(backend, now_ms)
        if not allowed:
            return float('inf')
        service_time = self.server(backend).service_time
        return service_time.expected_ms(now_ms) * (1 + ahead / allowed)
