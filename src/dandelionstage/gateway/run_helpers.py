"""Helpers shared by the runs of single and scatter-gather requests."""

from collections.abc import Callable
from typing import final

from ..catalog.routes import Route, ServiceId
from ..catalog.servers import ServerId
from ..placing.replicas import Replica
from .attempt import Attempt, AttemptPurpose, NoReply, Outcome
from .outcomes import OutcomeRecorder, outcome_label
from .requests import Answer, CallerRequest, request_head
from .run_context import Pool, RunContext, Timer

__all__ = ('AnswerOnce', 'AttemptSender', 'SingleTimer')


@final
class AnswerOnce:
    """Sends at most one answer to a caller, and none once discarded."""

    def __init__(self, send_answer: Callable[[Answer], None]) -> None:
        """Store the callback that sends the answer."""
        self._send_answer: Callable[[Answer], None] | None = send_answer

    @property
    def is_pending(self) -> bool:
        """Whether the caller still waits for an answer."""
        return self._send_answer is not None

    def send(self, answer: Answer) -> None:
        """Send an answer, unless one was sent or discarded before."""
        send_answer = self._send_answer
        self._send_answer = None
        if send_answer is not None:
            send_answer(answer)

    def discard(self) -> None:
        """Send no answer, as the caller has disconnected."""
        self._send_answer = None


@final
class SingleTimer:
    """A timer with at most one scheduled call."""

    def __init__(self, context: RunContext) -> None:
        """Create a timer without a scheduled call."""
        self._context = context
        self._timer: Timer | None = None

    def call_at(self, due_ms: float, action: Callable[[], None]) -> None:
        """Schedule a call, replacing the one scheduled before.

        :param due_ms: time of the call by the monotonic clock.
        """
        self.stop()
        wait_ms = max(0, due_ms - self._context.now_ms())
        self._timer = self._context.call_later(wait_ms, action)

    def stop(self) -> None:
        """Cancel the scheduled call, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


@final
class AttemptSender:  # noqa: WPS214 -- short methods
    """Sends attempts of one request to servers.

    :ivar recorder: updates the estimates of servers from the outcomes.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        context: RunContext,
    ) -> None:
        """Build the request head that is shared by all attempts."""
        self.recorder = OutcomeRecorder(route, context)
        self._request = request
        self._route = route
        self._context = context
        self._head = request_head(request, context.header_names)
        # A server that leaves has no replica, but may still be at work.
        self._pools: dict[ServerId, Pool] = {}

    def send(
        self,
        replica: Replica[Pool],
        on_end: Callable[[Attempt, Outcome], None],
        deadline_ms: float,
        *,
        purpose: AttemptPurpose,
    ) -> Attempt:
        """Submit an attempt to the connection pool of a replica.

        :param on_end: called with the attempt and its outcome.
        :param deadline_ms: time at which the server must stop working on
            the request.
        :param purpose: reason for which the attempt is made.
        """
        server = replica.record.server
        attempt = Attempt(
            server,
            self._request.request_id,
            lambda left_ms: self._build_request(server, left_ms),
            on_end,
        )
        attempt.deadline_ms = deadline_ms
        attempt.purpose = purpose
        attempt.is_head = self._request.is_head
        attempt.at_work = replica.pool.load + 1
        limit_per_s = replica.pool.limit.per_s
        if limit_per_s:
            self._log_limited(attempt, replica, limit_per_s)
        replica.throttle.record_sent(self._context.now_ms())
        self._pools[server] = replica.pool
        replica.pool.submit(attempt)
        return attempt

    def abandon(self, attempt: Attempt, *, is_slow: bool) -> None:
        """Drop an attempt whose outcome is no longer needed.

        :param is_slow: whether to count the server as slow, as another one
            would have been faster.
        """
        if is_slow:
            self.recorder.record_slow(attempt)
        pool = self._pools.get(attempt.server)
        if pool is None:
            # A relay carries it out.
            attempt.ended = True
        else:
            pool.abandon(attempt)

    def take_extra(self, service: ServiceId, purpose: AttemptPurpose) -> bool:
        """Take an extra attempt from the budget of a service, and log it.

        :param purpose: reason for the attempt; the kind of the log event if
            the budget allows it.
        :returns: whether the budget allows the attempt.
        """
        now_ms = self._context.now_ms()
        is_taken = self._context.budgets.try_spend(service, now_ms)
        self._context.log.event(
            purpose.value if is_taken else 'budget_spent',
            request=self._request.log_id,
            route=self._route.name,
            service=service,
            budget_left=round(
                self._context.budgets.remaining(service, now_ms), 1
            ),
        )
        return is_taken

    def log_failure(
        self,
        service: ServiceId,
        attempt: Attempt,
        outcome: Outcome,
        **more: int,
    ) -> None:
        """Log a failed attempt.

        :param more: additional fields of the log line.
        """
        self._context.log.event(
            'attempt_failed',
            request=self._request.log_id,
            service=service,
            server=attempt.server,
            outcome=outcome_label(outcome),
            **more,
            waited_ms=round(self._context.now_ms() - attempt.started_ms, 1),
        )
        if outcome in {NoReply.BROKEN, NoReply.SERVER_ENDED}:
            self._log_broken(service, attempt)

    def _log_broken(self, service: ServiceId, attempt: Attempt) -> None:
        """Log which request a server had when its connection broke.

        A kind of its own, as a server that is down fails many more attempts
        than it has broken.
        """
        self._context.log.event(
            'attempt_broken',
            request=self._request.log_id,
            digest=self._request.digest.hex(),
            service=service,
            server=attempt.server,
            purpose=attempt.purpose.value,
            sent=attempt.sent_ms is not None,
        )

    def _log_limited(
        self, attempt: Attempt, replica: Replica[Pool], limit_per_s: float
    ) -> None:
        """Log an attempt at a server that limits its requests."""
        self._context.log.event(
            'limited_attempt',
            request=self._request.log_id,
            service=replica.record.service,
            server=attempt.server,
            limit_per_s=limit_per_s,
            purpose=attempt.purpose.value,
        )

    def _build_request(self, server: ServerId, left_ms: float) -> bytes:
        header_names = self._context.header_names
        return b'%b%b: %b\r\n%b: %d\r\n\r\n%b' % (
            self._head,
            header_names.target,
            server.encode(),
            header_names.time_left,
            max(1, int(left_ms)),
            self._request.body,
        )
