"""The planned stop of a daemon as a sequence of states, each bounded."""

from dataclasses import dataclass
from enum import Enum, unique
from itertools import pairwise
from types import MappingProxyType
from typing import Final, final

__all__ = ('StopLimits', 'StopSequence', 'StopState')


@unique
class StopState(Enum):
    """How far a daemon is with stopping."""

    SERVING = 'serving'
    # The balancer is told, callers are still served.
    NOT_READY = 'not_ready'
    # Peers are told; work that comes all the same is still taken.
    ANNOUNCED = 'announced'
    # Nothing new is taken; what is in flight and open tickets finish.
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
    """How long each state may last.

    :ivar not_ready_ms: for the balancer to see that the daemon is not ready.
    :ivar announced_ms: for peers to hear of it and to rank it last.
    :ivar draining_ms: at least the longest deadline of any contract and the
        lifetime of a ticket, or requests are cut.
    :ivar closing_ms: for connections to be closed.
    """

    not_ready_ms: float = 1000
    announced_ms: float = 1000
    draining_ms: float = 30_000
    closing_ms: float = 1000

    def max_duration_ms(self, state: StopState) -> float:
        """Tell how long a state may last; infinite if it has no bound."""
        return {
            StopState.NOT_READY: self.not_ready_ms,
            StopState.ANNOUNCED: self.announced_ms,
            StopState.DRAINING: self.draining_ms,
            StopState.CLOSING: self.closing_ms,
        }.get(state, _NEVER_MS)


@final
class StopSequence:
    """Says what a daemon does at which point of its stop.

    :ivar state: the state reached.
    :ivar overran: the bound on draining passed with work still in flight.
    """

    def __init__(self, limits: StopLimits) -> None:
        """Start serving."""
        self.state = StopState.SERVING
        self.drain_overran = False
        self._limits = limits
        self._state_deadline_ms = _NEVER_MS

    @property
    def accepts_new(self) -> bool:
        """Whether new callers, tickets and queue entries are taken."""
        return self.state in _ACCEPTING

    def begin(self, now_ms: float) -> None:
        """Begin to stop; a second signal changes nothing and cuts nothing."""
        if self.state is StopState.SERVING:
            self._enter(StopState.NOT_READY, now_ms)

    def advance(
        self,
        now_ms: float,
        in_flight: int,
        open_tickets: int,
        connections: int = 0,
    ) -> StopState:
        """Move on as far as time and the work left allow.

        One state at most is left in one call, so that a daemon paused for
        long still announces before it drains and drains before it closes.

        :param in_flight: requests taken and not yet answered.
        :param open_tickets: tickets that may still be used or asked about.
        :param connections: still open, of interest while closing.
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
        """When to advance at the latest; infinite if nothing is due."""
        return self._state_deadline_ms

    def _enter(self, state: StopState, now_ms: float) -> None:
        self.state = state
        self._state_deadline_ms = now_ms + self._limits.max_duration_ms(state)
