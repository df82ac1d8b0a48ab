"""Processing of a request that a single backend server answers."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from ..catalog.routes import RepeatPolicy, Route, ServiceId
from ..catalog.servers import ServerId
from ..placing.replicas import Replica
from .attempt import Attempt, AttemptPurpose, NoReply, Outcome, Reply
from .ended_servers import EndedServers
from .outcomes import is_misdirected, is_success
from .request_schedule import RequestSchedule
from .requests import Answer, CallerRequest, end_to_end_headers, error_answer
from .run_context import Pool, RunContext
from .run_helpers import AnswerOnce, AttemptSender, SingleTimer

__all__ = ('SingleRun',)

#: A refused caller may retry after the delay plus a random part of the spread,
#: so that callers do not retry all at once.
_RETRY_AFTER_MS: Final = 250.0
_RETRY_SPREAD_MS: Final = 750.0
_SERVER_ERRORS: Final = range(
    HTTPStatus.INTERNAL_SERVER_ERROR.value,
    600,  # noqa: WPS432 -- status
)

#: Replies with these that are no success lack the signature or are encoded.
_SUCCESSES: Final = range(
    HTTPStatus.OK.value,
    HTTPStatus.MULTIPLE_CHOICES.value,
)
#: A caller takes these to mean that the request has not run and will not run.
_NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT.value,
        HTTPStatus.MISDIRECTED_REQUEST.value,
        HTTPStatus.TOO_MANY_REQUESTS.value,
        HTTPStatus.SERVICE_UNAVAILABLE.value,
    )
)


@final
class SingleRun:  # noqa: WPS214 -- short methods
    """Forwards a request and reports whether it may have run.

    A request that must not be repeated is sent to another server only if the
    previous server stated that it did not run it, or if it was never sent.

    A server may fail a request that it ran with a status that means to callers
    that it did not.  Without the server's statement that it did not, such a
    reply is not forwarded.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        schedule: RequestSchedule,
        context: RunContext,
        send_answer: Callable[[Answer], None],
    ) -> None:
        """Choose the service that answers the request."""
        self._request = request
        self._route = route
        self._schedule = schedule
        self._context = context
        self._answer = AnswerOnce(send_answer)
        self._sender = AttemptSender(request, route, context)
        self._timer = SingleTimer(context)
        self._ends = EndedServers(request, context)
        self._service: ServiceId = route.choose_service(context.random)
        self._tried: list[ServerId] = []
        self._pending: list[Attempt] = []
        self._possible_runs = 0
        self._is_idempotent = route.repeat_policy is RepeatPolicy.IDEMPOTENT

    def start(self) -> None:
        """Send the request to a server and schedule the hedge."""
        self._request.on_disconnect = self.cancel
        self._context.budgets.count_request(
            self._service, self._context.now_ms()
        )
        hedge_at_ms = self._request.arrived_ms + self._schedule.hedge_delay_ms
        self._timer.call_at(hedge_at_ms, self._hedge)
        if not self._send_attempt(AttemptPurpose.FIRST):
            self._refuse('no server of the service is known or takes more')

    def cancel(self) -> None:
        """Stop, as the caller has disconnected.

        A request that must not be repeated is left to finish once it was
        sent, so that its work is not interrupted.
        """
        self._answer.discard()
        self._timer.stop()
        self._context.log.event(
            'caller_gone',
            request=self._request.log_id,
            route=self._route.name,
        )
        for attempt in tuple(self._pending):
            if self._is_idempotent or attempt.sent_ms is None:
                self._pending.remove(attempt)
                self._sender.abandon(attempt, is_slow=False)
        if self._pending:
            # The server stops working then; what it still sends is no answer.
            self._timer.call_at(self._schedule.deadline_ms, self._drop_pending)

    def _send_attempt(self, purpose: AttemptPurpose) -> bool:
        replica = self._choose()
        if replica is None:
            return False
        self._tried.append(replica.record.server)
        attempt = self._sender.send(
            replica, self._end, self._schedule.deadline_ms, purpose=purpose
        )
        if not attempt.ended:
            self._pending.append(attempt)
        return True

    def _choose(self) -> Replica[Pool] | None:
        return self._context.replicas.choose(
            self._service, self._context.now_ms(), self._tried
        )

    def _end(self, attempt: Attempt, outcome: Outcome) -> None:
        self._sender.recorder.record_outcome(attempt, outcome)
        self._note_end(attempt, outcome)
        if attempt in self._pending:
            self._pending.remove(attempt)
        if not self._answer.is_pending:
            return
        if is_success(outcome) and isinstance(outcome, Reply):
            self._forward_reply(outcome)
        else:
            self._handle_failure(attempt, outcome)

    def _note_end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record whether the server answered or ended under the request."""
        if is_success(outcome):
            self._ends.record_answer()
        elif outcome is NoReply.SERVER_ENDED and attempt.sent_ms is not None:
            self._ends.add(attempt.sent_ms)
            self._ends.record()

    def _handle_failure(self, attempt: Attempt, outcome: Outcome) -> None:
        """Retry, wait for other attempts or answer after a failed attempt."""
        may_have_run = attempt.sent_ms is not None and not (
            isinstance(outcome, Reply) and not outcome.ran
        )
        self._possible_runs += may_have_run
        self._sender.log_failure(
            self._service, attempt, outcome, ran=self._possible_runs
        )
        if self._pending:
            return
        if self._may_repeat(attempt, outcome):
            self._send_attempt(AttemptPurpose.RETRY)
            return
        if isinstance(outcome, Reply) and outcome.ran and _is_final(outcome):
            self._forward_reply(outcome)
        elif self._possible_runs:
            self._fail(HTTPStatus.BAD_GATEWAY, _doubt(outcome))
        else:
            self._refuse('no server takes the request now')

    def _may_repeat(self, attempt: Attempt, outcome: Outcome) -> bool:
        if self._possible_runs and not self._is_idempotent:
            return False
        if isinstance(outcome, Reply) and outcome.ran:
            if not _may_pass(outcome.status):
                return False
        if self._possible_runs >= self._route.attempts or self._ends.is_deadly:
            return False
        if (
            self._context.now_ms() >= self._schedule.end_ms
            or not self._choose()
        ):
            return False
        # An attempt that was never sent or that reached a wrong server put
        # no load on the service.
        costs_nothing = attempt.sent_ms is None or is_misdirected(outcome)
        return costs_nothing or self._sender.take_extra(
            self._service, AttemptPurpose.RETRY
        )

    @property
    def _may_run_twice(self) -> bool:
        """Whether the request may run at two servers at a time."""
        return self._is_idempotent and not self._ends.is_any

    def _hedge(self) -> None:
        """Send a second attempt if the first is slow and a hedge is allowed."""
        may_hedge = (
            self._may_run_twice
            and len(self._pending) == 1
            and len(self._tried) < self._route.attempts
            and self._choose() is not None
        )
        hedge = AttemptPurpose.HEDGE
        if may_hedge and self._sender.take_extra(self._service, hedge):
            self._send_attempt(hedge)
        self._recheck_slow()

    def _recheck_slow(self) -> None:
        """Record the servers of pending attempts as slow.

        This is repeated each time the waiting time has doubled.
        """
        for attempt in self._pending:
            self._sender.recorder.record_slow(attempt)
        waited_ms = self._context.now_ms() - self._request.arrived_ms
        recheck_at_ms = self._request.arrived_ms + 2 * waited_ms
        if recheck_at_ms < self._schedule.end_ms:
            self._timer.call_at(recheck_at_ms, self._recheck_slow)
        else:
            self._timer.call_at(self._schedule.end_ms, self._time_out)

    def _time_out(self) -> None:
        """Answer with an error at the end of the schedule."""
        is_sent = any(attempt.sent_ms is not None for attempt in self._pending)
        self._drop_pending()
        if is_sent or self._possible_runs:
            self._fail(HTTPStatus.GATEWAY_TIMEOUT, 'no reply in time')
        else:
            self._refuse('no server was free in time')

    def _drop_pending(self) -> None:
        for attempt in self._pending:
            self._sender.abandon(attempt, is_slow=True)
        self._pending.clear()

    def _forward_reply(self, reply: Reply) -> None:
        headers = tuple(
            header
            for header in end_to_end_headers(reply.headers)
            if header[0] != b'date'
        )
        self._finish(Answer(reply.status, headers, reply.body))

    def _refuse(self, reason: str) -> None:
        """Refuse a request that has not run and will not run."""
        retry_after_ms = (
            max(
                _RETRY_AFTER_MS,
                self._context.replicas.quiet_left_ms(
                    self._service, self._context.now_ms()
                ),
            )
            + self._context.random.random() * _RETRY_SPREAD_MS
        )
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._log_end('request_refused', status, reason)
        self._finish(error_answer(status, reason, retry_after_ms))

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        self._log_end('request_failed', status, reason)
        self._finish(error_answer(status, reason))

    def _finish(self, answer: Answer) -> None:
        self._timer.stop()
        self._answer.send(answer)
        self._drop_pending()

    def _log_end(self, kind: str, status: HTTPStatus, reason: str) -> None:
        self._context.log.event(
            kind,
            request=self._request.log_id,
            route=self._route.name,
            status=status.value,
            reason=reason,
            sent=len(self._tried),
            may_have_run=self._possible_runs,
            waited_ms=round(
                self._context.now_ms() - self._request.arrived_ms, 1
            ),
        )


def _may_pass(status: int) -> bool:
    """Whether another server may succeed where one failed with a status."""
    return any(
        status in statuses
        for statuses in (_SUCCESSES, _SERVER_ERRORS, _NOT_RUN_STATUSES)
    )


def _is_final(reply: Reply) -> bool:
    """Whether an error reply is the server's own, to be forwarded unchanged."""
    if reply.status in _NOT_RUN_STATUSES or reply.status in _SUCCESSES:
        return False
    return bool(reply.stamp) or reply.status not in _SERVER_ERRORS


def _doubt(outcome: Outcome) -> str:
    """Return why it is unknown whether a server ran a request."""
    if isinstance(outcome, Reply):
        if outcome.status in _SUCCESSES:
            return 'the reply is not signed or not as the server wrote it'
        return 'the server did not state whether the request ran'
    return 'the server gave no whole reply'
