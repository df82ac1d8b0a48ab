"""Borrows and lends the slots of backend servers for an owner."""

from collections import Counter
from random import Random
from typing import Final, final

from ..limits.call_ids import make_call_ids
from ..limits.server_shares import ServerShares
from ..limits.share_borrower import ShareBorrower
from ..limits.share_lender import answer_request, refuse_request
from ..limits.share_messages import ShareKey
from ..model.ids import BackendId, VmId
from ..model.messages import LeaseGrant, LeaseRequest
from .state import OwnerState

__all__ = ('Addressed', 'Sharing')

#: How often needs are looked at while work waits, and while none does.
_WAITING_LOOK_MS: Final = 1.0
_IDLE_LOOK_MS: Final = 20.0

#: A request and the VM to send it to.
Addressed = tuple[VmId, LeaseRequest]


@final
class Sharing:
    """Turns waiting work into requests, and free slots into loans."""

    def __init__(
        self, state: OwnerState, shares: ServerShares, random: Random
    ) -> None:
        """Share the slots of one owner."""
        self._state = state
        self._shares = shares
        self._looked_ms = float('-inf')
        self._borrower = ShareBorrower(
            shares.accounts,
            make_call_ids(state.vm, random),
        )

    def requests(self, now_ms: float) -> tuple[Addressed, ...]:
        """Ask other VMs for the slots that waiting work needs."""
        if now_ms < self._looked_ms + self._pause_ms():
            return ()
        self._looked_ms = now_ms
        demand = {
            backend: self._wanted(backend, waiting, now_ms)
            for backend, waiting in self._count_waiting().items()
        }
        return tuple(self._borrower.requests(demand, now_ms))

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Lend what no work here waits for."""
        key = ShareKey.decode(request.key)
        if key is None or key.backend not in self._shares.accounts:
            return refuse_request(request)
        return answer_request(
            self._shares.accounts[key.backend],
            vm,
            request,
            now_ms,
            needed=bool(self._state.lanes.feeding(key.backend)),
        )

    def receive_grant(self, vm: VmId, grant: LeaseGrant) -> BackendId | None:
        """Take over what another VM lent; say for which server."""
        return self._borrower.receive_grant(vm, grant)

    def _pause_ms(self) -> float:
        waits = bool(self._state.lanes.calls)
        return _WAITING_LOOK_MS if waits else _IDLE_LOOK_MS

    def _count_waiting(self) -> Counter[BackendId]:
        attempts = self._state.attempts.values()
        waiting = Counter({attempt.backend: 0 for attempt in attempts})
        for lane in self._state.lanes:
            waiting.update(dict.fromkeys(lane.replicas, len(lane.queue)))
        return waiting

    def _wanted(self, backend: BackendId, waiting: int, now_ms: float) -> int:
        found = self._state.server(backend)
        in_use = found.slots.use.total(now_ms)
        allowed = found.concurrency.allowed(now_ms)
        return min(in_use + waiting, allowed)
