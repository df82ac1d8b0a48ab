"""Forwards callers' actions to the processes that minted their tickets."""

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
from .request_reader import CallerRequest

__all__ = ('ActionService', 'Forwarder')

_MS_PER_S: Final = 1000
#: Time after the deadline in which the minter's outcome is still awaited.
_OUTCOME_GRACE_MS: Final = 200
#: Maximum number of times that a call is sent.  It is sent again if its
#: connection is lost; the ticket makes this safe.
_MAX_FORWARDS: Final = 3
_NO_TICKET: Final = TicketId('')
#: Number of sub-requests that an action is admitted as.
_ADMISSION_COST: Final = 1


@final
class Forwarder:
    """Sends calls to minting processes and waits for their outcomes."""

    def __init__(
        self,
        vm: VmId,
        minting: MintingService,
        send: Callable[[VmId, InnerMessage], None],
    ) -> None:
        """Create the forwarder of a VM.

        :param vm: this VM; calls to it need no connection.
        :param minting: handles the calls to this VM.
        :param send: queues a message to another VM.
        """
        self._vm = vm
        self._minting = minting
        self._send = send
        self._pending_calls: dict[CallId, _PendingCall] = {}

    async def forward(
        self,
        vm: VmId,
        call: ActionCall,
    ) -> ActionOutcome | None:
        """Send a call and wait for its outcome, without a time limit.

        :returns: the outcome, or ``None`` if the connection was lost before
            it arrived.
        """
        pending = _PendingCall(anyio.Event())
        self._pending_calls[call.call] = pending
        if vm == self._vm:
            self._minting.handle_call(call, self.handle_outcome)
        else:
            self._send(vm, call)
        try:
            await pending.ended.wait()
        finally:
            self._pending_calls.pop(call.call, None)
        return pending.outcome

    def handle_outcome(self, outcome: ActionOutcome) -> None:
        """Deliver an outcome to the call that waits for it, if any."""
        pending = self._pending_calls.get(outcome.call)
        if pending is not None:
            pending.outcome = outcome
            pending.ended.set()

    def handle_loss(self, call: ActionCall) -> None:
        """End the wait for a call whose connection was lost."""
        pending = self._pending_calls.get(call.call)
        if pending is not None:
            pending.ended.set()


@final
@dataclass(slots=True)
class _PendingCall:
    ended: anyio.Event
    outcome: ActionOutcome | None = None


@final
@dataclass(frozen=True, slots=True)
class ActionService:
    """Mints tickets and runs the actions that callers send to this daemon.

    :ivar forwarder: sends calls to the processes that minted their tickets.
    :ivar minting: mints the tickets of this process.
    :ivar incarnation_of: returns the highest known incarnation of a VM,
        ``None`` if the VM is unknown.
    :ivar admit: admits or refuses an action.
    :ivar release: releases an admitted action.
    :ivar new_call: returns a new call id.
    :ivar metrics: records latencies and minted tickets.
    :ivar clock: returns the monotonic time in milliseconds.
    :ivar lifetime_ms: time from the minting of a ticket to its expiry.
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

    def mint(
        self, caller_request: CallerRequest[TicketBody]
    ) -> Result[TicketId, Verdict]:
        """Mint a ticket for a customer."""
        minted = self.minting.mint(caller_request.contract.customer)
        if isinstance(minted, Success):
            self.metrics.count_event(Event.TICKET_MINTED)
        return minted

    async def act(
        self,
        caller_request: CallerRequest[ActionBody],
    ) -> tuple[TicketId, ActionOutcome]:
        """Run an action at most once.

        :returns: the ticket, empty if there is none, and the outcome.
        """
        body = caller_request.body
        refusal = check_idempotency_key(
            body.ticket is not None,
            body.idempotency_key is not None,
        ) or self.admit(caller_request.contract, _ADMISSION_COST, self.clock())
        if refusal is not None:
            return body.ticket or _NO_TICKET, _outcome_of_verdict(refusal)
        try:
            ticket, outcome = await self._run_at_minter(caller_request)
        finally:
            self.release(caller_request.contract)
        self.metrics.observe(
            Hop.ACTION,
            caller_request.contract.customer,
            self.clock() - caller_request.arrived_ms,
        )
        return ticket, outcome

    async def _run_at_minter(
        self,
        caller_request: CallerRequest[ActionBody],
    ) -> tuple[TicketId, ActionOutcome]:
        ticket = caller_request.body.ticket
        if ticket is None:
            minted = self.minting.mint(caller_request.contract.customer)
            if isinstance(minted, Failure):
                return _NO_TICKET, _outcome_of_verdict(minted.failure())
            ticket = minted.unwrap()
        lookup = locate_minter(ticket, self.incarnation_of)
        if not isinstance(lookup, Forward):
            return ticket, _outcome_of_verdict(lookup.verdict)
        return ticket, await self._forward(lookup.vm, ticket, caller_request)

    async def _forward(
        self,
        vm: VmId,
        ticket: TicketId,
        caller_request: CallerRequest[ActionBody],
    ) -> ActionOutcome:
        deadline_ms = caller_request.arrived_ms + _effective_deadline_ms(
            caller_request
        )
        left_ms = deadline_ms + _OUTCOME_GRACE_MS - self.clock()
        call = self._make_call(ticket, caller_request, deadline_ms)
        with anyio.move_on_after(max(0, left_ms / _MS_PER_S)):
            for _ in range(_MAX_FORWARDS):
                # Each copy has the same call id.  Otherwise a delayed first
                # copy could start the action after the second one was
                # answered with "not run".
                call = replace(call, remaining_ms=deadline_ms - self.clock())
                outcome = await self.forwarder.forward(vm, call)
                if outcome is not None:
                    return outcome
            return _outcome_of_verdict(minter_unreachable())
        return _outcome_of_verdict(
            Verdict(Run.MAY_HAVE_RUN, Reason.DEADLINE_EXPIRED)
        )

    def _make_call(
        self,
        ticket: TicketId,
        caller_request: CallerRequest[ActionBody],
        deadline_ms: float,
    ) -> ActionCall:
        return ActionCall(
            call=self.new_call(),
            request=caller_request.request,
            customer=caller_request.contract.customer,
            workload=caller_request.workload.workload,
            ticket=ticket,
            action_json=json.dumps(caller_request.body.action),
            remaining_ms=deadline_ms - self.clock(),
        )


def _effective_deadline_ms(caller_request: CallerRequest[ActionBody]) -> float:
    deadline_ms = caller_request.contract.deadline_ms
    return min(deadline_ms, caller_request.body.deadline_ms or deadline_ms)


def _outcome_of_verdict(verdict: Verdict) -> ActionOutcome:
    """Return the outcome of an action for which no minter sent one."""
    return ActionOutcome(CallId(''), verdict)
