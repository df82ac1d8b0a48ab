"""Borrows and lends the slots of backend servers for an owner."""

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
from .state import OwnerState

__all__ = ('Sharing',)

#: How often needs are looked at while work waits, and while none does.
_WAITING_LOOK_MS: Final = 1.0
_IDLE_LOOK_MS: Final = 20.0


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
        self._borrower = LeaseBorrower(
            LimitKind.SLOTS,
            shares.accounts,
            make_call_id_factory(state.vm, random),
        )

    def requests(self, now_ms: float) -> tuple[AddressedRequest, ...]:
        """Ask other VMs for the slots that waiting work needs."""
        if now_ms < self._looked_ms + self._pause_ms():
            return ()
        self._looked_ms = now_ms
        demand: dict[str, float] = {
            backend: self._wanted(backend, waiting, now_ms)
            for backend, waiting in self._count_waiting().items()
        }
        return tuple(self._borrower.requests(demand, now_ms))

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Lend what no work here waits for."""
        key = LeaseKey.decode(request.key)
        if key is not None and self._state.lanes.feeding(BackendId(key.name)):
            request = replace(request, amount=0)
        return answer_lease_request(
            LimitKind.SLOTS,
            self._shares.accounts,
            vm,
            request,
            now_ms,
        )

    def receive_grant(self, vm: VmId, grant: LeaseGrant) -> BackendId | None:
        """Take over what another VM lent; say for which server."""
        name = self._borrower.receive_grant(vm, grant)
        return None if name is None else BackendId(name)

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
