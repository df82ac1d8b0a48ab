"""What gathered and single requests in progress have in common."""

from collections.abc import Callable
from typing import final

from ..catalog.routes import Route, ServiceId
from ..catalog.servers import ServerId
from ..placing.replicas import Replica
from .attempt import Attempt, Outcome
from .outcomes import Lessons, outcome_of
from .requests import Answer, CallerRequest, request_head
from .run_context import Pool, RunContext, Timer

__all__ = ('FirstAnswer', 'SingleTimer', 'Sender')


@final
class FirstAnswer:
    """Gives a caller one answer, the first, or none once it is gone."""

    def __init__(self, give: Callable[[Answer], None]) -> None:
        """Start without an answer."""
        self._give: Callable[[Answer], None] | None = give

    @property
    def is_due(self) -> bool:
        """Whether the caller still waits."""
        return self._give is not None

    def give(self, answer: Answer) -> None:
        """Answer, unless that was done."""
        give = self._give
        self._give = None
        if give is not None:
            give(answer)

    def drop(self) -> None:
        """Note that the caller is gone."""
        self._give = None


@final
class SingleTimer:
    """Has one thing due at a time."""

    def __init__(self, tools: RunContext) -> None:
        """Start with nothing due."""
        self._tools = tools
        self._timer: Timer | None = None

    def call_at(self, due_ms: float, action: Callable[[], None]) -> None:
        """Do something later; replaces what was due before."""
        self.stop()
        wait_ms = max(0, due_ms - self._tools.now_ms())
        self._timer = self._tools.call_later(wait_ms, action)

    def stop(self) -> None:
        """Have nothing due any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


@final
class Sender:
    """Sends one request to servers and learns from how that ends.

    :ivar lessons: takes in the endings.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        tools: RunContext,
    ) -> None:
        """Write the request once for all servers."""
        self.lessons = Lessons(route, tools)
        self._request = request
        self._route = route
        self._tools = tools
        self._head = request_head(request, tools.header_names)

    def send(
        self,
        replica: Replica[Pool],
        on_end: Callable[[Attempt, Outcome], None],
        deadline_ms: float,
    ) -> Attempt:
        """Send to a server as soon as a connection is free.

        :param deadline_ms: when the server is to stop working on it.
        """
        server = replica.record.server
        attempt = Attempt(
            server,
            self._request.request_id,
            lambda left_ms: self._bytes_for(server, left_ms),
            on_end,
        )
        attempt.deadline_ms = deadline_ms
        replica.throttle.send(self._tools.now_ms())
        replica.pool.submit(attempt)
        return attempt

    def give_up(self, attempt: Attempt, *, is_slow: bool) -> None:
        """Lose interest in an attempt.

        :param is_slow: whether another server would have been faster.
        """
        if is_slow:
            self.lessons.note_slow(attempt)
        replica = self._tools.replica_of(attempt.server)
        if replica is None:
            attempt.ended = True
        else:
            replica.pool.abandon(attempt)

    def take_extra(self, service: ServiceId, purpose: str) -> bool:
        """Spend an extra attempt from the budget of a service."""
        now_ms = self._tools.now_ms()
        taken = self._tools.budgets.take(service, now_ms)
        self._tools.log.event(
            purpose if taken else 'budget_spent',
            request=self._request.log_id,
            route=self._route.name,
            service=service,
            budget_left=round(self._tools.budgets.left(service, now_ms), 1),
        )
        return taken

    def log_failure(
        self, service: ServiceId, attempt: Attempt, ending: Outcome, **more: int
    ) -> None:
        """Log how an attempt failed.

        :param more: further fields of the line.
        """
        self._tools.log.event(
            'attempt_failed',
            request=self._request.log_id,
            service=service,
            server=attempt.server,
            outcome=outcome_of(ending),
            **more,
            waited_ms=round(self._tools.now_ms() - attempt.started_ms, 1),
        )

    def _bytes_for(self, server: ServerId, left_ms: float) -> bytes:
        header_names = self._tools.header_names
        return b'%b%b: %b\r\n%b: %d\r\n\r\n%b' % (
            self._head,
            header_names.target,
            server.encode(),
            header_names.time_left,
            max(1, int(left_ms)),
            self._request.body,
        )
