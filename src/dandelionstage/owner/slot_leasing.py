"""Borrowing and lending of backend server slots between VMs."""

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Final, final

from ..limits.call_ids import make_call_id_factory
from ..limits.lease_borrower import AddressedRequest, LeaseBorrower
from ..limits.lease_key import LeaseKey, LimitKind
from ..limits.lease_lender import answer_lease_request
from ..limits.server_shares import ServerShares
from ..model.ids import BackendId, VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .owner_state import OwnerState

__all__ = ('SlotLeasing',)

#: Shortest time between two calculations of the demand while work waits.
_WAITING_INTERVAL_MS: Final = 1.0
#: Shortest time between two calculations of the demand while no work
#: waits.
_IDLE_INTERVAL_MS: Final = 20.0


@final
class SlotLeasing:
    """Borrows slots for waiting work and lends free slots to other VMs."""

    def __init__(
        self, state: OwnerState, shares: ServerShares, random: Random
    ) -> None:
        """Create the slot leasing of one owner.

        :param random: generates the ids of the lease requests.
        """
        self._state = state
        self._shares = shares
        self._last_demand_ms = float('-inf')
        self._borrower = LeaseBorrower(
            LimitKind.SLOTS,
            shares.accounts,
            make_call_id_factory(state.vm, random),
        )

    def requests(self, now_ms: float) -> tuple[AddressedRequest, ...]:
        """Return the lease requests for slots that waiting work needs."""
        if now_ms < self._last_demand_ms + self._interval_ms():
            return ()
        self._last_demand_ms = now_ms
        demand: dict[str, float] = {
            backend: self._count_needed(backend, waiting, now_ms)
            for backend, waiting in self._count_waiting().items()
        }
        return tuple(self._borrower.requests(demand, now_ms))

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Answer a lease request of another VM.

        No slot of a server is lent while work for that server waits here.
        """
        key = LeaseKey.decode(request.key)
        if key is not None and self._state.queues.list_for(BackendId(key.name)):
            request = replace(request, amount=0)
        return answer_lease_request(
            LimitKind.SLOTS,
            self._shares.accounts,
            vm,
            request,
            now_ms,
        )

    def receive_grant(self, vm: VmId, grant: LeaseGrant) -> BackendId | None:
        """Add granted slots and return the server that they belong to.

        :returns: ``None`` for a grant that answers no pending request.
        """
        name = self._borrower.receive_grant(vm, grant)
        return None if name is None else BackendId(name)

    def _interval_ms(self) -> float:
        has_waiting = bool(self._state.queues.calls)
        return _WAITING_INTERVAL_MS if has_waiting else _IDLE_INTERVAL_MS

    def _count_waiting(self) -> Counter[BackendId]:
        # Servers that run attempts are included with a count of 0, as the
        # slots in use are part of the demand.
        attempts = self._state.attempts.values()
        waiting = Counter({attempt.backend: 0 for attempt in attempts})
        for queue in self._state.queues:
            waiting.update(dict.fromkeys(queue.replicas, len(queue.work)))
        return waiting

    def _count_needed(
        self, backend: BackendId, waiting: int, now_ms: float
    ) -> int:
        state = self._state.server(backend)
        in_use = state.slots.use.total(now_ms)
        allowed = state.concurrency.allowed(now_ms)
        return min(in_use + waiting, allowed)
