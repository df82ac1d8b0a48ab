"""Brings a caller's action to the process that minted its ticket."""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final, final

import anyio
from returns.result import Failure, Result, Success

from ..actions.minter_lookup import (
    Forward,
    check_idempotency_key,
    locate_minter,
    minter_unreachable,
)
from ..inner.messages import InnerMessage
from ..model.contract import Contract
from ..model.ids import CallId, Incarnation, TicketId, VmId
from ..model.messages import ActionCall, ActionOutcome
from ..model.verdict import Reason, Run, Verdict
from ..operations.labels import Event, Hop
from ..operations.metrics import Metrics
from .bodies import ActionBody, TicketBody
from .minting import MintingService
from .query_service import Admission
from .request_reader import Arrival

__all__ = ('ActionService', 'Forwarder')

_MS_PER_S: Final = 1000
#: How long past the deadline the minting process's own word is waited for.
_GRACE_MS: Final = 200
#: The ticket makes repeats harmless, so a lost link is tried again.
_MAX_FORWARDS: Final = 3
_NO_TICKET: Final = TicketId('')
_COST: Final = 1


@final
class Forwarder:
    """Carries calls to minting processes and waits for their outcomes."""

    def __init__(
        self,
        vm: VmId,
        minting: MintingService,
        send: Callable[[VmId, InnerMessage], None],
    ) -> None:
        """Forward for this VM; its own tickets need no link."""
        self._vm = vm
        self._minting = minting
        self._send = send
        self._waiting: dict[CallId, _Pending] = {}

    async def forward(
        self,
        vm: VmId,
        call: ActionCall,
    ) -> ActionOutcome | None:
        """Send a call and wait for its outcome, ``None`` if it got lost.

        The caller bounds the time.
        """
        pending = _Pending(anyio.Event())
        self._waiting[call.call] = pending
        if vm == self._vm:
            self._minting.handle_call(call, self.handle_outcome)
        else:
            self._send(vm, call)
        try:
            await pending.ended.wait()
        finally:
            self._waiting.pop(call.call, None)
        return pending.outcome

    def handle_outcome(self, outcome: ActionOutcome) -> None:
        """Hand an outcome to whoever waits for it."""
        pending = self._waiting.get(outcome.call)
        if pending is not None:
            pending.outcome = outcome
            pending.ended.set()

    def handle_loss(self, call: ActionCall) -> None:
        """Note that a call will get no outcome by the way it was sent."""
        pending = self._waiting.get(call.call)
        if pending is not None:
            pending.ended.set()


@final
@dataclass(slots=True)
class _Pending:
    ended: anyio.Event
    outcome: ActionOutcome | None = None


@final
@dataclass(frozen=True, slots=True)
class ActionService:
    """What every action of this daemon shares.

    :ivar incarnation_of: the highest one heard of, ``None`` if unknown.
    :ivar lifetime_ms: of a ticket, from minting to expiry.
    """

    forwarder: Forwarder
    minting: MintingService
    incarnation_of: Callable[[VmId], Incarnation | None]
    admit: Admission
    release: Callable[[Contract], None]
    new_call: Callable[[], CallId]
    metrics: Metrics
    clock: Callable[[], float]
    lifetime_ms: float

    def mint(self, arrival: Arrival[TicketBody]) -> Result[TicketId, Verdict]:
        """Mint a ticket for a customer."""
        minted = self.minting.mint(arrival.contract.customer)
        if isinstance(minted, Success):
            self.metrics.count_event(Event.TICKET_MINTED)
        return minted

    async def act(
        self,
        arrival: Arrival[ActionBody],
    ) -> tuple[TicketId, ActionOutcome]:
        """Run an action at most once; the ticket is named in any case."""
        body = arrival.body
        refusal = check_idempotency_key(
            body.ticket is not None,
            body.idempotency_key is not None,
        ) or self.admit(arrival.contract, _COST, self.clock())
        if refusal is not None:
            return body.ticket or _NO_TICKET, _refused(refusal)
        try:
            ticket, outcome = await self._bring(arrival)
        finally:
            self.release(arrival.contract)
        self.metrics.observe(
            Hop.ACTION,
            arrival.contract.customer,
            self.clock() - arrival.arrived_ms,
        )
        return ticket, outcome

    async def _bring(
        self,
        arrival: Arrival[ActionBody],
    ) -> tuple[TicketId, ActionOutcome]:
        ticket = arrival.body.ticket
        if ticket is None:
            minted = self.minting.mint(arrival.contract.customer)
            if isinstance(minted, Failure):
                return _NO_TICKET, _refused(minted.failure())
            ticket = minted.unwrap()
        where = locate_minter(ticket, self.incarnation_of)
        if not isinstance(where, Forward):
            return ticket, _refused(where.verdict)
        return ticket, await self._forward(where.vm, ticket, arrival)

    async def _forward(
        self,
        vm: VmId,
        ticket: TicketId,
        arrival: Arrival[ActionBody],
    ) -> ActionOutcome:
        deadline_ms = arrival.arrived_ms + _patience_ms(arrival)
        left_ms = deadline_ms + _GRACE_MS - self.clock()
        call = self._make_call(ticket, arrival, deadline_ms)
        with anyio.move_on_after(max(0, left_ms / _MS_PER_S)):
            for _ in range(_MAX_FORWARDS):
                # Sent again it keeps its id: a first copy that comes late
                # must not start what the second was told has "not run".
                call = replace(call, remaining_ms=deadline_ms - self.clock())
                outcome = await self.forwarder.forward(vm, call)
                if outcome is not None:
                    return outcome
            return _refused(minter_unreachable())
        return _refused(Verdict(Run.MAY_HAVE_RUN, Reason.DEADLINE_EXPIRED))

    def _make_call(
        self,
        ticket: TicketId,
        arrival: Arrival[ActionBody],
        deadline_ms: float,
    ) -> ActionCall:
        return ActionCall(
            call=self.new_call(),
            request=arrival.request,
            customer=arrival.contract.customer,
            workload=arrival.workload.workload,
            ticket=ticket,
            action_json=json.dumps(arrival.body.action),
            remaining_ms=deadline_ms - self.clock(),
        )


def _patience_ms(arrival: Arrival[ActionBody]) -> float:
    deadline_ms = arrival.contract.deadline_ms
    return min(deadline_ms, arrival.body.deadline_ms or deadline_ms)


def _refused(verdict: Verdict) -> ActionOutcome:
    return ActionOutcome(CallId(''), verdict)
