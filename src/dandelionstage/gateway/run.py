"""What gathered and single requests in progress have in common."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from ..catalog.routes import Route, ServiceId
from ..catalog.servers import ServerId
from ..placing.replicas import Replica
from .attempt import Attempt, Ending, Loss, Reply
from .requests import Answer, CallerRequest, request_head
from .tools import RunTools, Timer

__all__ = ('FirstAnswer', 'Sender', 'is_good', 'is_misdirected')

_SUCCESSES: Final = range(200, 300)
#: A server that sheds is full; counted as this much slower than usual.
_SHED_RATIO: Final = 5.0
#: A failure this close to its deadline is due to the deadline.
_OVER_MS: Final = 8.0
#: Endings that say nothing of the server.
_BLAMELESS: Final = frozenset((Loss.WITHDRAWN, Loss.EXPIRED))


def is_good(ending: Ending) -> bool:
    """Whether an ending is a whole, signed success."""
    if not isinstance(ending, Reply) or not ending.ran:
        return False
    encoded = any(name == b'content-encoding' for name, _ in ending.headers)
    return ending.status in _SUCCESSES and bool(ending.stamp) and not encoded


def is_misdirected(ending: Ending) -> bool:
    """Whether another server has the address."""
    return (
        isinstance(ending, Reply)
        and ending.status == HTTPStatus.MISDIRECTED_REQUEST
        and not ending.ran
    )


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
        give, self._give = self._give, None
        if give is not None:
            give(answer)

    def drop(self) -> None:
        """Note that the caller is gone."""
        self._give = None


@final
class Sender:
    """Sends one request to servers and learns from how that ends."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        tools: RunTools,
    ) -> None:
        """Write the request once for all servers."""
        self._request = request
        self._route = route
        self._tools = tools
        self._head = request_head(request, tools.names)
        self._timer: Timer | None = None

    def send(
        self,
        replica: Replica,  # type: ignore[type-arg]
        on_end: Callable[[Attempt, Ending], None],
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

    def learn(self, attempt: Attempt, ending: Ending) -> None:
        """Take in what an ending says of the server."""
        replica = self._tools.replica_of(attempt.server)
        if replica is None or ending in _BLAMELESS:
            return
        now_ms = self._tools.now_ms()
        if isinstance(ending, Reply):
            replica.throttle.hear()
        is_over = now_ms >= attempt.deadline_ms - _OVER_MS
        if is_misdirected(ending):
            self._tools.log.event(
                'server_replaced',
                request=self._request.log_id,
                server=attempt.server,
            )
            self._tools.replicas.drop(attempt.server)
        elif isinstance(ending, Reply) and is_over and not is_good(ending):
            # It stopped at the deadline that it was given.
            self.note_slow(attempt)
        elif isinstance(ending, Reply) and not ending.ran:
            replica.slowness.observe_unfinished(_SHED_RATIO, now_ms)
        elif is_good(ending):
            replica.throttle.answer(now_ms)
            elapsed_ms = now_ms - attempt.started_ms
            usual_ms = self._tools.times.usual_ms(self._route.name)
            replica.slowness.observe(elapsed_ms / usual_ms, now_ms)
            self._tools.times.add(self._route.name, elapsed_ms)
        else:
            replica.slowness.fail(now_ms)

    def give_up(self, attempt: Attempt, *, is_slow: bool) -> None:
        """Lose interest in an attempt.

        :param is_slow: whether another server would have been faster.
        """
        replica = self._tools.replica_of(attempt.server)
        if replica is None:
            attempt.ended = True
            return
        if is_slow:
            self.note_slow(attempt)
        replica.pool.abandon(attempt)

    def note_slow(self, attempt: Attempt) -> None:
        """Take in that an attempt is not answered yet."""
        replica = self._tools.replica_of(attempt.server)
        if replica is None:
            return
        now_ms = self._tools.now_ms()
        usual_ms = self._tools.times.usual_ms(self._route.name)
        waited_ms = now_ms - attempt.started_ms
        replica.slowness.observe_unfinished(waited_ms / usual_ms, now_ms)

    def call_at(self, due_ms: float, action: Callable[[], None]) -> None:
        """Do one thing at a time; replaces what was due before."""
        self.stop_timer()
        wait_ms = max(0, due_ms - self._tools.now_ms())
        self._timer = self._tools.call_later(wait_ms, action)

    def stop_timer(self) -> None:
        """Have nothing due any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

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

    def _bytes_for(self, server: ServerId, left_ms: float) -> bytes:
        names = self._tools.names
        return b'%b%b: %b\r\n%b: %d\r\n\r\n%b' % (
            self._head,
            names.target,
            server.encode(),
            names.time_left,
            max(1, int(left_ms)),
            self._request.body,
        )
