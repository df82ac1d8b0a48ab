"""Carries out a planned stop, from the signal to the closed ports."""

import signal
from collections.abc import Callable
from typing import Final, final

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from ..lifecycle.stop_sequence import StopLimits, StopSequence, StopState
from ..model.messages import Leaving
from .clock import monotonic_ms
from .node import Node

__all__ = ('StopService',)

_STEP_S: Final = 0.05


@final
class StopService:
    """Moves the stop sequence on and does what each state asks.

    :ivar closed: set when the ports for callers are to be closed.
    """

    def __init__(
        self,
        node: Node,
        limits: StopLimits,
        in_flight: Callable[[], int],
        open_tickets: Callable[[], int],
    ) -> None:
        """Serve until the first signal.

        :param in_flight: counts requests taken and not yet answered.
        :param open_tickets: counts tickets that may still be asked about.
        """
        self.closed = anyio.Event()
        self._node = node
        self._sequence = StopSequence(limits)
        self._in_flight = in_flight
        self._open_tickets = open_tickets

    @property
    def state(self) -> StopState:
        """How far the stop has come."""
        return self._sequence.state

    @property
    def accepts_new(self) -> bool:
        """Whether new callers, tickets and queue entries are taken."""
        return self._sequence.accepts_new

    async def run(self) -> None:
        """Wait for signals; each after the first changes nothing."""
        with anyio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
        ) as signals:
            async with anyio.create_task_group() as group:
                async for _ in signals:
                    self._begin(group)

    def _begin(self, group: TaskGroup) -> None:
        if self.state is StopState.SERVING:
            self._sequence.begin(monotonic_ms())
            group.start_soon(self._advance)

    async def _advance(self) -> None:
        announced = False
        while self.state not in {StopState.CLOSING, StopState.STOPPED}:
            state = self._sequence.advance(
                monotonic_ms(),
                self._in_flight(),
                self._open_tickets(),
            )
            if state is StopState.ANNOUNCED and not announced:
                announced = True
                self._announce()
            await anyio.sleep(_STEP_S)
        if self._sequence.drain_overran:
            logger.warning('the stop took too long; work in flight is cut')
        self.closed.set()

    def _announce(self) -> None:
        greeting = self._node.greeting
        members = self._node.facts.members
        leaving = Leaving(greeting.vm, greeting.incarnation)
        members.note_leaving(leaving)
        for vm in members.live(greeting.data_centre):
            if vm != greeting.vm:
                self._node.peers.send(vm, leaving)
