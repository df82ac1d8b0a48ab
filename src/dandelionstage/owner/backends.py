"""The backend servers of one data centre, as seen by its owners."""

from collections.abc import Mapping, Sequence
from typing import final

from returns.result import Failure, Result, Success

from ..configuration.topology import Topology
from ..limits.server_shares import ServerShares
from ..model.ids import BackendId, DataCentreId
from ..model.topology import BackendServer
from ..model.verdict import Reason, Verdict, not_run
from ..routing.ejection import max_ejections
from ..routing.health import Availability
from .backend_state import BackendState

__all__ = ('Backends', 'Replicas')

#: Sorted backend servers that may run the same sub-request.
Replicas = tuple[BackendId, ...]


@final
class Backends:
    """Keeps the state of each backend server of one data centre.

    A server is published while the current topology lists it. One that is
    no longer published gets no new work; its state is removed by a later
    topology update once it has no attempt in flight.

    :ivar states: the state of each published server, and of those that
        still have attempts in flight.
    """

    def __init__(self, data_centre: DataCentreId, shares: ServerShares) -> None:
        """Create a collection without servers."""
        self._data_centre = data_centre
        self._shares = shares
        self.states: dict[BackendId, BackendState] = {}
        self._published: frozenset[BackendId] = frozenset()

    def use_topology(self, topology: Topology) -> None:
        """Apply the published servers of this data centre.

        A server published as leaving is draining until its next
        incarnation, even if a later topology lists it as live.
        """
        self.states = {
            backend: state
            for backend, state in self.states.items()
            if backend in self._published or state.slots.use.in_flight
        }
        local = _list_local(topology, self._data_centre)
        for backend, server in local.items():
            account = self._shares.accounts[backend]
            state = self.states.setdefault(
                backend,
                BackendState(server, account),
            )
            state.use_published(server)
        self._published = frozenset(local)

    def select_usable(
        self, replicas: Sequence[BackendId], now_ms: float
    ) -> Result[Replicas, Verdict]:
        """Select the replicas that may get new work.

        Ejected servers are selected only when there is no other.
        """
        known = self._published.intersection(replicas)
        if not known:
            return Failure(not_run(Reason.UNKNOWN_BACKEND))
        for availability in (Availability.AVAILABLE, Availability.EJECTED):
            found = tuple(
                backend
                for backend in sorted(known)
                if self.states[backend].health.availability(now_ms)
                is availability
            )
            if found:
                return Success(found)
        return Failure(not_run(Reason.BACKEND_DRAINING))

    def is_leaving(self, backend: BackendId, now_ms: float) -> bool:
        """Return whether a server is unpublished or draining."""
        if backend not in self._published:
            return True
        availability = self.states[backend].health.availability(now_ms)
        return availability is Availability.DRAINING

    def max_in_flight(self, backend: BackendId, now_ms: float) -> int:
        """Return how many attempts this VM may have in flight at a server."""
        state = self.states[backend]
        if self.is_leaving(backend, now_ms):
            return 0
        return min(
            state.slots.capacity(now_ms),
            state.concurrency.allowed(now_ms),
        )

    def record_failure(
        self, backend: BackendId, reason: Reason, now_ms: float
    ) -> None:
        """Count a failure and eject the server after several in a row.

        Reasons that are no failure of the server are not counted.
        No server is ejected while the largest allowed share of the published
        servers is ejected already.
        """
        health = self.states[backend].health
        if not health.ejection.record_failure(reason):
            return
        if _count_ejected(self.states, now_ms) < max_ejections(
            len(self._published),
        ):
            health.ejection.eject(now_ms)


def _list_local(
    topology: Topology, data_centre: DataCentreId
) -> Mapping[BackendId, BackendServer]:
    return {
        backend: placed.server
        for backend, placed in topology.backends.items()
        if placed.data_centre == data_centre
    }


def _count_ejected(
    states: Mapping[BackendId, BackendState], now_ms: float
) -> int:
    availabilities = (
        state.health.availability(now_ms) for state in states.values()
    )
    return sum(
        availability is Availability.EJECTED for availability in availabilities
    )
