"""Planned stop of a daemon: a sequence of states, each with a time limit."""

from dataclasses import dataclass
from enum import Enum, unique
from itertools import pairwise
from types import MappingProxyType
from typing import Final, final

__all__ = ('StopLimits', 'StopSequence', 'StopState')


@unique
class StopState(Enum):
    """States of a daemon during its planned stop, in order of time."""

    SERVING = 'serving'
    # Reports not ready to the load balancer; still serves callers.
    NOT_READY = 'not_ready'
    # Has announced the stop to its peers; still accepts new work.
    ANNOUNCED = 'announced'
    # Refuses new work; requests in flight and open tickets finish.
    DRAINING = 'draining'
    CLOSING = 'closing'
    STOPPED = 'stopped'


_NEVER_MS: Final = float('inf')
_NEXT_STATE: Final = MappingProxyType(dict(pairwise(StopState)))
_ACCEPTING: Final = frozenset(
    (StopState.SERVING, StopState.NOT_READY, StopState.ANNOUNCED),
)


@final
@dataclass(frozen=True, slots=True)
class StopLimits:
    """Longest duration of each state.

    :ivar not_ready_ms: time for the load balancer to see that the daemon is
        not ready.
    :ivar announced_ms: time for peers to receive the announcement and rank
        the daemon last.
    :ivar draining_ms: time for requests and tickets to finish; requests are
        aborted if it is below the longest deadline of a contract or the
        lifetime of a ticket.
    :ivar closing_ms: time for connections to close.
    """

    not_ready_ms: float = 1000
    announced_ms: float = 1000
    draining_ms: float = 30_000
    closing_ms: float = 1000

    def max_duration_ms(self, state: StopState) -> float:
        """Return how long a state may last, infinite without a limit."""
        return {
            StopState.NOT_READY: self.not_ready_ms,
            StopState.ANNOUNCED: self.announced_ms,
            StopState.DRAINING: self.draining_ms,
            StopState.CLOSING: self.closing_ms,
        }.get(state, _NEVER_MS)


@final
class StopSequence:
    """Steps through the states of a planned stop.

    :ivar state: current state.
    :ivar drain_overran: whether draining reached its time limit with requests
        in flight or tickets open.
    """

    def __init__(self, limits: StopLimits) -> None:
        """Create a sequence in the state ``SERVING``."""
        self.state = StopState.SERVING
        self.drain_overran = False
        self._limits = limits
        self._state_deadline_ms = _NEVER_MS

    @property
    def accepts_new(self) -> bool:
        """Whether new callers, tickets and queue entries are accepted."""
        return self.state in _ACCEPTING

    def begin(self, now_ms: float) -> None:
        """Begin the stop; a second call has no effect and aborts nothing."""
        if self.state is StopState.SERVING:
            self._enter(StopState.NOT_READY, now_ms)

    def advance(
        self,
        now_ms: float,
        in_flight: int,
        open_tickets: int,
        connections: int = 0,
    ) -> StopState:
        """Enter the next state if the current one is complete or timed out.

        One call advances by at most one state, so that after a long pause a
        daemon still announces before it drains and drains before it closes.

        :param in_flight: number of requests accepted and not yet answered.
        :param open_tickets: number of tickets that may still be used or
            queried.
        :param connections: number of open connections, used while closing.
        :returns: the state after the call.
        """
        left = in_flight + open_tickets
        late = now_ms >= self._state_deadline_ms
        drained = self.state is StopState.DRAINING and not left
        closed = self.state is StopState.CLOSING and not connections
        if late or drained or closed:
            draining = self.state is StopState.DRAINING
            self.drain_overran = self.drain_overran or (draining and left > 0)
            self._enter(_NEXT_STATE[self.state], now_ms)
        return self.state

    def next_wakeup_ms(self) -> float:
        """Return when the current state times out, infinite without a limit."""
        return self._state_deadline_ms

    def _enter(self, state: StopState, now_ms: float) -> None:
        self.state = state
        self._state_deadline_ms = now_ms + self._limits.max_duration_ms(state)
