"""A fake backend server with slots."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final, final

from dandelionstage.model.topology import BackendServer
from dandelionstage.model.verdict import Reason, Run, Verdict, not_run
from dandelionstage.owner.messages import AttemptOutcome, StartAttempt

from .loop import Loop

__all__ = ('FakeServer',)

#: From a VM to a backend server and back.
_ROUND_TRIP_MS: Final = 1.0
_RAN: Final = Verdict(Run.RAN, Reason.OK)
_SHED: Final = not_run(Reason.BACKEND_OVERLOADED, retry_after_ms=5)
_EXPIRED: Final = Verdict(Run.MAY_HAVE_RUN, Reason.DEADLINE_EXPIRED)

Finish = Callable[[AttemptOutcome], None]


@final
@dataclass(slots=True)
class FakeServer:
    """Works on as many requests as it has slots and sheds the others.

    :ivar mean_ms: of its exponentially distributed service time.
    :ivar busy: slots in use.
    :ivar received: attempts that reached it.
    :ivar overruns: those that found no free slot.
    """

    published: BackendServer
    mean_ms: float
    loop: Loop
    random: Random
    busy: int = 0
    received: int = 0
    overruns: int = 0

    def receive(self, start: StartAttempt, finish: Finish) -> None:
        """Work on an attempt until it is done or its time is up."""
        self.received += 1
        if self.busy >= self.published.slots:
            self.overruns += 1
            self._reply(start, _SHED, 0, finish)
            return
        self.busy += 1
        service_ms = self.random.expovariate(1 / self.mean_ms)
        left_ms = start.deadline_ms - self.loop.now_ms - _ROUND_TRIP_MS
        verdict = _RAN if service_ms <= left_ms else _EXPIRED
        busy_ms = min(service_ms, max(0, left_ms))
        self.loop.after(
            busy_ms,
            lambda: self._end(start, verdict, busy_ms, finish),
        )

    def _end(
        self,
        start: StartAttempt,
        verdict: Verdict,
        busy_ms: float,
        finish: Finish,
    ) -> None:
        self.busy -= 1
        self._reply(start, verdict, busy_ms, finish)

    def _reply(
        self,
        start: StartAttempt,
        verdict: Verdict,
        busy_ms: float,
        finish: Finish,
    ) -> None:
        outcome = AttemptOutcome(
            call=start.sub_request.call,
            backend=self.published.backend,
            verdict=verdict,
            backend_incarnation='1',
            hop_ms=busy_ms + _ROUND_TRIP_MS,
        )
        self.loop.after(_ROUND_TRIP_MS, lambda: finish(outcome))
