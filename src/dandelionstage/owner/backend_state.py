"""All that the owner knows of one backend server."""

from typing import Final, final

from ..limits.concurrency import Concurrency
from ..limits.slot_account import SlotAccount
from ..limits.slot_use import Hold
from ..limits.turns import Turns
from ..model.topology import BackendServer, Presence
from ..model.verdict import Reason, Run, Verdict
from ..routing.health import BackendHealth
from ..routing.service_time import ServiceTime
from .messages import AttemptOutcome

__all__ = ('BackendState',)

#: The longest that an attempt without a word from the server is taken to
#: hold its slot there.
_LINGER_MS: Final = 1000.0
#: The server counts a deadline from when the request reached it.
_LAG_MS: Final = 20.0

#: Outcomes whose duration says how fast the server is.
_TIMED: Final = frozenset((Reason.OK, Reason.DEADLINE_EXPIRED))


@final
class BackendState:
    """Slots in use, concurrency, health and service time of one server.

    :ivar server: as published.
    :ivar slots: those that this VM may use.
    :ivar health: whether it may get new work.
    :ivar concurrency: how much it takes at a time.
    :ivar service_time: how long it takes.
    :ivar turns: which priority it serves next.
    """

    def __init__(self, server: BackendServer, slots: SlotAccount) -> None:
        """Start with a server that was never heard of."""
        self.server = server
        self.slots = slots
        self.health = BackendHealth()
        self.concurrency = Concurrency(server.slots)
        self.service_time = ServiceTime()
        self.turns = Turns()

    def publish(self, server: BackendServer) -> None:
        """Follow the published limits; one that leaves drains for good."""
        self.server = server
        self.concurrency.resize(server.slots)
        if server.presence is Presence.LEAVING:
            self.health.drain()

    def finish(
        self, outcome: AttemptOutcome, hold: Hold, now_ms: float
    ) -> None:
        """Free the slot and learn from how an attempt ended.

        An attempt whose end the server did not tell may still run there
        until its deadline, so its slot is not given to another one yet.
        """
        heard = bool(outcome.backend_incarnation)
        free_ms = now_ms
        if outcome.verdict.run is Run.MAY_HAVE_RUN and not heard:
            free_ms = min(hold.until_ms + _LAG_MS, now_ms + _LINGER_MS)
        self.slots.use.free(hold, free_ms, now_ms)
        self._learn(outcome, now_ms)

    def update_health(
        self, incarnation: str, now_ms: float, *, draining: bool
    ) -> None:
        """Take in what a server says of itself; a restarted one is cold."""
        if self.health.meet(incarnation, draining=draining):
            self.concurrency.cool(now_ms, 0)

    def next_change_ms(self, now_ms: float) -> float | None:
        """Say when a slot may become free by the passing of time."""
        times_ms = (
            self.slots.use.next_free_ms(),
            self.concurrency.held_until_ms,
            self.health.ejection.until_ms,
        )
        return min(
            (each for each in times_ms if each and each > now_ms), default=None
        )

    def _learn(self, outcome: AttemptOutcome, now_ms: float) -> None:
        self.update_health(
            outcome.backend_incarnation,
            now_ms,
            draining=outcome.draining,
        )
        if outcome.verdict.reason in _TIMED:
            self.service_time.observe(outcome.hop_ms, now_ms)
        self._follow(outcome.verdict, now_ms)

    def _follow(self, verdict: Verdict, now_ms: float) -> None:
        match verdict.reason:
            case Reason.OK:
                self.concurrency.succeed()
                self.health.ejection.succeed()
            case Reason.BACKEND_DRAINING:
                self.health.drain()
            case Reason.BACKEND_OVERLOADED:
                self.concurrency.shed(now_ms, verdict.retry_after_ms)
            case Reason.BACKEND_COLD:
                self.concurrency.cool(now_ms, verdict.retry_after_ms)
