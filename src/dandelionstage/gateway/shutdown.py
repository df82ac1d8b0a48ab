"""Graceful shutdown that finishes the requests of callers first."""

import asyncio
from dataclasses import dataclass
from typing import Final, Protocol, final

from ..lifecycle.stop_sequence import StopLimits, StopSequence, StopState
from ..operations.events import EventLog
from .clock import now_ms

__all__ = ('Shutdown', 'ShutdownLimits')

_POLL_INTERVAL_S: Final = 0.05
#: The platform checks readiness every second and removes a VM after two
#: refusals, so it sends no new connections after this time.
_MAX_NOT_READY_MS: Final = 3000.0
#: Reserved for closing connections and for delays on a slow core.
_CLOSING_RESERVE_MS: Final = 900.0


class Listener(Protocol):
    """Interface of the listener for callers and its connections."""

    @property
    def in_progress(self) -> int:
        """Number of connections that read or serve a request."""

    @property
    def connection_count(self) -> int:
        """Number of open connections."""

    def close_after_next_answer(self) -> None:
        """Have each connection close after its next answer."""

    def close_idle(self) -> None:
        """Close the connections that read or serve no request."""

    def stop_listening(self) -> None:
        """Stop accepting new connections."""

    def answer_in_progress(self) -> None:
        """Answer the requests in progress, as they cannot be finished."""


@final
@dataclass(frozen=True, slots=True)
class ShutdownLimits:
    """Maximum durations of the steps of a shutdown.

    :ivar not_ready_ms: time for the platform to stop sending connections.
    :ivar draining_ms: time after that to finish requests in progress.
    """

    not_ready_ms: float
    draining_ms: float

    @classmethod
    def within(cls, grace_ms: float) -> 'ShutdownLimits':
        """Divide a grace period into the steps.

        :param grace_ms: time from the stop request until the platform kills
            the process.
        """
        not_ready_ms = min(_MAX_NOT_READY_MS, grace_ms / 2)
        draining_ms = max(0, grace_ms - _CLOSING_RESERVE_MS - not_ready_ms)
        return cls(not_ready_ms, draining_ms)


@final
class Shutdown:
    """Runs the stop sequence of a process when requested.

    Connections are served until the last step: a caller may send a request
    on a reused connection at any time, and only an answer with ``connection:
    close`` tells it not to use the connection again.
    """

    def __init__(
        self, listener: Listener, limits: ShutdownLimits, log: EventLog
    ) -> None:
        """Create a shutdown that has not begun."""
        self._listener = listener
        self._log = log
        self._sequence = StopSequence(
            StopLimits(
                not_ready_ms=limits.not_ready_ms,
                announced_ms=0,
                draining_ms=limits.draining_ms,
                closing_ms=0,
            )
        )
        self._stop_requested = asyncio.Event()
        self._limits = limits
        self._drained_ms = float('inf')

    @property
    def late_left_ms(self) -> float:
        """Time left for requests that arrive while others are finished.

        :returns: infinity before that.
        """
        if self._sequence.accepts_new:
            return float('inf')
        return max(0, self._drained_ms - now_ms())

    @property
    def has_begun(self) -> bool:
        """Whether a stop was requested."""
        return self._sequence.state is not StopState.SERVING

    def begin(self) -> None:
        """Begin the shutdown; further calls have no effect."""
        if not self.has_begun:
            limits = self._limits
            self._drained_ms = (
                now_ms() + limits.not_ready_ms + limits.draining_ms
            )
        self._sequence.begin(now_ms())
        self._listener.close_after_next_answer()
        self._stop_requested.set()

    async def wait_finished(self) -> None:
        """Wait until a stop is requested and the shutdown is complete."""
        await self._stop_requested.wait()
        state = self._sequence.state
        while state is not StopState.STOPPED:
            await asyncio.sleep(_POLL_INTERVAL_S)
            state = self._advance(state)
        if self._sequence.drain_overran:
            self._log.event('stop_cut', in_progress=self._listener.in_progress)

    def _advance(self, previous: StopState) -> StopState:
        if previous is StopState.DRAINING:
            self._listener.close_idle()
        state = self._sequence.advance(
            now_ms(),
            self._listener.in_progress,
            0,
            self._listener.connection_count,
        )
        if state is not previous:
            self._log.event('stop_step', step=state.value)
            if state is StopState.DRAINING:
                self._listener.stop_listening()
            elif previous is StopState.DRAINING:
                self._listener.answer_in_progress()
        return state
