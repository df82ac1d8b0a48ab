"""Ends a process so that no caller is cut off."""

import asyncio
from dataclasses import dataclass
from typing import Final, Protocol, final

from ..lifecycle.stopping import StopLimits, StopSequence, StopState
from ..operations.events import EventLog
from .clock import now_ms

__all__ = ('ShutdownLimits', 'Shutdown')

_TICK_S: Final = 0.05
#: The platform asks each second and takes a VM out after two refusals.
_NOT_READY_MS: Final = 3000.0
#: Kept for closing and for a slow core.
_RESERVE_MS: Final = 900.0


class Port(Protocol):
    """The connections from callers."""

    @property
    def in_progress(self) -> int:
        """Connections on which a request is read or served."""

    @property
    def connection_count(self) -> int:
        """Connections open."""

    def end_links(self) -> None:
        """Let each connection end with its next answer."""

    def close_idle(self) -> None:
        """Close the connections that nothing is read or served on."""

    def stop_listening(self) -> None:
        """Take no new connection."""


@final
@dataclass(frozen=True, slots=True)
class ShutdownLimits:
    """How long each step of a stop may last.

    :ivar not_ready_ms: until no new connection is sent here.
    :ivar draining_ms: after that for requests in progress.
    """

    not_ready_ms: float
    draining_ms: float

    @classmethod
    def within(cls, grace_ms: float) -> 'ShutdownLimits':
        """Divide the time from the request to stop to the kill."""
        not_ready_ms = min(_NOT_READY_MS, grace_ms / 2)
        draining_ms = max(0, grace_ms - _RESERVE_MS - not_ready_ms)
        return cls(not_ready_ms, draining_ms)


@final
class Shutdown:
    """Goes through the stop sequence once it is told to.

    Connections are read on until the very end: a caller may send a request
    on a kept connection at any moment, and only an answer that says so lets
    it know that the connection ends.
    """

    def __init__(
        self, port: Port, limits: ShutdownLimits, log: EventLog
    ) -> None:
        """Prepare; nothing happens before :meth:`begin`."""
        self._port = port
        self._log = log
        self._sequence = StopSequence(
            StopLimits(
                not_ready_ms=limits.not_ready_ms,
                announced_ms=0,
                draining_ms=limits.draining_ms,
                closing_ms=0,
            )
        )
        self._begun = asyncio.Event()

    @property
    def has_begun(self) -> bool:
        """Whether a stop was asked for."""
        return self._sequence.state is not StopState.SERVING

    def begin(self) -> None:
        """Begin to stop; a second call changes nothing."""
        self._sequence.begin(now_ms())
        self._port.end_links()
        self._begun.set()

    async def wait_finished(self) -> None:
        """Wait until a stop was asked for and is done."""
        await self._begun.wait()
        state = self._sequence.state
        while state is not StopState.STOPPED:
            await asyncio.sleep(_TICK_S)
            state = self._advance(state)
        if self._sequence.overran:
            self._log.event('stop_cut', in_progress=self._port.in_progress)

    def _advance(self, before: StopState) -> StopState:
        if before is StopState.DRAINING:
            self._port.close_idle()
        state = self._sequence.advance(
            now_ms(), self._port.in_progress, 0, self._port.connection_count
        )
        if state is not before:
            self._log.event('stop_step', step=state.value)
            if state is StopState.DRAINING:
                self._port.stop_listening()
        return state
