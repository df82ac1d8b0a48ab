"""State that the owner keeps about one backend server."""

from typing import Final, final

from ..limits.concurrency_limit import ConcurrencyLimit
from ..limits.priority_scheduler import PriorityScheduler
from ..limits.slot_account import SlotAccount
from ..limits.slot_use import SlotHold
from ..model.topology import BackendServer, Presence
from ..model.verdict import Reason, Run, Verdict
from ..routing.health import BackendHealth
from ..routing.service_time import ServiceTime
from .messages import AttemptOutcome

__all__ = ('BackendState',)

#: How long an attempt that the server did not answer keeps its slot at most.
_MAX_UNANSWERED_HOLD_MS: Final = 1000.0
#: Allowance for the time that a request travels: the server counts the
#: deadline from the arrival of the request.
_REQUEST_TRAVEL_MS: Final = 20.0

#: Outcomes whose duration is a sample of the server's service time.
_TIMED_REASONS: Final = frozenset((Reason.OK, Reason.DEADLINE_EXPIRED))


@final
class BackendState:
    """Slots in use, concurrency, health and service time of one server.

    :ivar server: the published description of the server.
    :ivar slots: the slots of the server that this VM may use.
    :ivar health: whether the server may get new work.
    :ivar concurrency: the limit on attempts in flight at the server.
    :ivar service_time: the estimate of the time for one attempt.
    :ivar priorities: chooses the priority that starts next at the server.
    """

    def __init__(self, server: BackendServer, slots: SlotAccount) -> None:
        """Create the state of a server without any observation."""
        self.server = server
        self.slots = slots
        self.health = BackendHealth()
        self.concurrency = ConcurrencyLimit(server.slots)
        self.service_time = ServiceTime()
        self.priorities = PriorityScheduler()

    def use_published(self, server: BackendServer) -> None:
        """Apply newly published limits and the published presence.

        A server that is published as leaving is marked as draining and
        stays so until its next incarnation.
        """
        self.server = server
        self.concurrency.resize(server.slots)
        if server.presence is Presence.LEAVING:
            self.health.mark_draining()

    def finish(
        self, outcome: AttemptOutcome, hold: SlotHold, now_ms: float
    ) -> None:
        """Release the slot of an attempt and record the outcome.

        An attempt that the server did not answer may still run there until
        its deadline, so its slot stays in use for that time.
        """
        answered = bool(outcome.backend_incarnation)
        free_ms = now_ms
        if outcome.verdict.run is Run.MAY_HAVE_RUN and not answered:
            free_ms = min(
                hold.until_ms + _REQUEST_TRAVEL_MS,
                now_ms + _MAX_UNANSWERED_HOLD_MS,
            )
        self.slots.use.release(hold, free_ms, now_ms)
        self._record(outcome, now_ms)

    def update_health(
        self, incarnation: str, now_ms: float, *, draining: bool
    ) -> None:
        """Record the incarnation and draining state that a server reports.

        The concurrency limit of a restarted server starts low again.
        """
        if self.health.observe_reply(incarnation, draining=draining):
            self.concurrency.record_cold_start(now_ms, 0)

    def next_change_ms(self, now_ms: float) -> float | None:
        """Return when the passing of time alone may free a slot next."""
        times_ms = (
            self.slots.use.next_free_ms(),
            self.concurrency.blocked_until_ms,
            self.health.ejection.until_ms,
        )
        return min(
            (each for each in times_ms if each and each > now_ms), default=None
        )

    def _record(self, outcome: AttemptOutcome, now_ms: float) -> None:
        self.update_health(
            outcome.backend_incarnation,
            now_ms,
            draining=outcome.draining,
        )
        if outcome.verdict.reason in _TIMED_REASONS:
            self.service_time.observe(outcome.hop_ms, now_ms)
        self._apply_verdict(outcome.verdict, now_ms)

    def _apply_verdict(self, verdict: Verdict, now_ms: float) -> None:
        match verdict.reason:
            case Reason.OK:
                self.concurrency.record_success()
                self.health.ejection.record_success()
            case Reason.BACKEND_DRAINING:
                self.health.mark_draining()
            case Reason.BACKEND_OVERLOADED:
                self.concurrency.record_overload(now_ms, verdict.retry_after_ms)
            case Reason.BACKEND_COLD:
                self.concurrency.record_cold_start(
                    now_ms, verdict.retry_after_ms
                )
