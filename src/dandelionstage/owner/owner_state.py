"""State shared by the components of an owner."""

from dataclasses import dataclass, field
from typing import Final, final

from ..limits.queued_sub_request import QueuedSubRequest
from ..limits.slot_use import SlotHold
from ..model.ids import BackendId, CallId, VmId
from .backend_state import BackendState
from .backends import Backends
from .replica_queues import ReplicaQueues

__all__ = ('Attempt', 'OwnerState')

#: A borrowed slot is used only if its lease lasts at least this long.
_MIN_LEASE_LEFT_MS: Final = 200.0
#: A borrowed slot is used only if its lease lasts this many times the
#: expected service time, as an attempt may take longer than expected.
_LEASE_SERVICE_TIMES: Final = 3


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """A sub-request that was started at a backend server.

    :ivar queued: the sub-request as it was queued.
    :ivar backend: the backend server.
    :ivar hold: the slot in use.
    :ivar started_ms: monotonic time of the start.
    :ivar cancelled: whether the sender of the sub-request cancelled it.
    """

    queued: QueuedSubRequest
    backend: BackendId
    hold: SlotHold
    started_ms: float
    cancelled: bool = False


@final
@dataclass(frozen=True, slots=True)
class OwnerState:
    """Backend servers, queued work and running attempts of one owner.

    :ivar vm: the VM that runs the owner.
    :ivar backends: the servers that the owner may use.
    :ivar queues: the sub-requests that wait for a slot.
    :ivar attempts: the running attempt of each call.
    """

    vm: VmId
    backends: Backends
    queues: ReplicaQueues = field(default_factory=ReplicaQueues)
    attempts: dict[CallId, Attempt] = field(default_factory=dict)

    def server(self, backend: BackendId) -> BackendState:
        """Return the state of a server.

        :raises KeyError: if no state of the server is kept.
        """
        return self.backends.states[backend]

    def find_slot(self, backend: BackendId, now_ms: float) -> SlotHold | None:
        """Find a slot for one attempt that may start now.

        :returns: ``None`` if the limit on attempts in flight is reached or
            no own or borrowed slot is free.
        """
        state = self.server(backend)
        in_use = state.slots.use.total(now_ms)
        if in_use >= self.backends.max_in_flight(backend, now_ms):
            return None
        expected_ms = state.service_time.expected_ms(now_ms)
        min_lease_left_ms = max(
            _MIN_LEASE_LEFT_MS, expected_ms * _LEASE_SERVICE_TIMES
        )
        return state.slots.find_slot(min_lease_left_ms, now_ms)

    def estimate_ms(
        self, backend: BackendId, ahead: int, now_ms: float
    ) -> float:
        """Estimate how long work takes at a server behind other work.

        :param ahead: number of sub-requests that start earlier.
        :returns: time from now in milliseconds, infinite for a server that
            may not get work.
        """
        max_in_flight = self.backends.max_in_flight(backend, now_ms)
        if not max_in_flight:
            return float('inf')
        service_time = self.server(backend).service_time
        return service_time.expected_ms(now_ms) * (1 + ahead / max_in_flight)
