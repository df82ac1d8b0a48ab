"""Carries out what the owner decides: attempts at backend servers."""

from collections.abc import Callable, Iterable
from typing import Final, final

import anyio
from anyio.abc import TaskGroup

from ..model.ids import BackendId, CallId, CustomerId
from ..model.messages import SubReply, SubRequest
from ..owner.messages import (
    CancelAttempt,
    OwnerCommand,
    ProbeBackend,
    StartAttempt,
)
from ..model.verdict import Reason
from ..operations.labels import Hop, Observe, ignore
from ..operations.logs import FaultLog
from ..owner.owner import Owner
from .backend_pools import BackendPools

__all__ = ('OwnerService', 'ReplyTo')

#: How often queued work is looked at while some waits, and while none does.
_BUSY_TICK_S: Final = 0.01
_IDLE_TICK_S: Final = 0.1

#: How an attempt may end without a fault of the backend server.
_EXPECTED: Final = frozenset((Reason.OK, Reason.CANCELLED))

#: Takes the reply to a sub-request back to where it came from.
ReplyTo = Callable[[SubReply], None]


@final
class OwnerService:  # noqa: WPS214 -- one method for each event
    """Runs one owner over the pools of its backend servers.

    :ivar after_event: called once the owner's decisions are carried out.
    :ivar observe: takes the times in the queue and at backend servers.
    """

    def __init__(
        self,
        owner: Owner,
        pools: BackendPools,
        group: TaskGroup,
        clock: Callable[[], float],
    ) -> None:
        """Start with nothing to do.

        :param group: runs the attempts.
        """
        self.owner = owner
        self._pools = pools
        self._group = group
        self._clock = clock
        self._reply_to: dict[CallId, tuple[CustomerId, ReplyTo]] = {}
        self._faults = FaultLog()
        self.after_event: Callable[[], None] = lambda: None
        self.observe: Observe = ignore

    def take(self, sub_request: SubRequest, reply_to: ReplyTo) -> None:
        """Take in a sub-request; its one reply goes back the same way."""
        self._reply_to[sub_request.call] = (sub_request.customer, reply_to)
        self.carry_out(self.owner.offer(sub_request, self._clock()))

    def cancel(self, call: CallId) -> None:
        """Stop a sub-request that is no longer waited for."""
        self.carry_out(self.owner.cancel(call, self._clock()))

    async def run(self) -> None:
        """Let the owner act on the passing of time until cancelled."""
        while True:
            pause_s = _BUSY_TICK_S if self.owner.pending() else _IDLE_TICK_S
            await anyio.sleep(pause_s)
            self.carry_out(self.owner.tick(self._clock()))

    def carry_out(self, commands: Iterable[OwnerCommand]) -> None:
        """Do what the owner decided."""
        for command in commands:
            if isinstance(command, StartAttempt):
                self._group.start_soon(self._attempt, command)
            elif isinstance(command, CancelAttempt):
                self._group.start_soon(
                    self._pools.cancel,
                    command.backend,
                    command.call,
                )
            elif isinstance(command, ProbeBackend):
                self._group.start_soon(self._probe, command.backend)
            else:
                self._reply(command.sub_reply)
        self.after_event()

    def _reply(self, reply: SubReply) -> None:
        waiting = self._reply_to.pop(reply.call, None)
        if waiting is not None:
            customer, reply_to = waiting
            self.observe(Hop.QUEUE, customer, reply.queue_ms)
            reply_to(reply)

    async def _probe(self, backend: BackendId) -> None:
        health = await self._pools.ask_health(backend)
        if health is not None:
            self.carry_out(
                self.owner.update_health(
                    backend,
                    health.incarnation,
                    self._clock(),
                    draining=health.draining,
                ),
            )

    async def _attempt(self, start: StartAttempt) -> None:
        allowance = self.owner.connection_allowance(start.backend)
        outcome = await self._pools.attempt(start, allowance)
        customer = start.sub_request.customer
        self.observe(Hop.BACKEND, customer, outcome.hop_ms)
        _note_fault(self._faults, start, outcome.verdict.reason)
        self.carry_out(self.owner.finish(outcome, self._clock()))


def _note_fault(faults: FaultLog, start: StartAttempt, reason: Reason) -> None:
    if reason in _EXPECTED:
        return
    faults.warn_repeating(
        '{0} {1}'.format(reason.value, start.backend),
        'attempt failed',
        request_id=start.sub_request.request,
        backend=start.backend,
        reason=reason.value,
    )
