"""One request that a single backend server answers."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from ..catalog.routes import Route, ServiceId, Work
from ..catalog.servers import ServerId
from ..placing.replicas import Replica
from .attempt import Attempt, Outcome, Reply
from .outcomes import is_good, is_misdirected
from .request_schedule import RequestSchedule
from .requests import Answer, CallerRequest, passed_on, refusal
from .run_context import Pool, RunContext
from .run_helpers import FirstAnswer, Sender, SingleTimer

__all__ = ('SingleRun',)

#: Callers that are turned away come back spread over this time.
_RETRY_AFTER_MS: Final = 250.0
_RETRY_SPREAD_MS: Final = 750.0
_SERVER_ERRORS: Final = range(
    HTTPStatus.INTERNAL_SERVER_ERROR.value,
    600,  # noqa: WPS432 -- status
)


@final
class SingleRun:  # noqa: WPS214 -- one request's whole course, short methods
    """Sends a request on and says truthfully whether it may have run.

    A request that must not be repeated goes to another server only after a
    server said that it did not run it, or before it was sent at all.
    """

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        schedule: RequestSchedule,
        tools: RunContext,
        give: Callable[[Answer], None],
    ) -> None:
        """Choose the service."""
        self._request = request
        self._route = route
        self._pace = schedule
        self._tools = tools
        self._answer = FirstAnswer(give)
        self._sender = Sender(request, route, tools)
        self._timer = SingleTimer(tools)
        self._service: ServiceId = route.draw_service(tools.random)
        self._tried: list[ServerId] = []
        self._out: list[Attempt] = []
        self._runs = 0
        self._is_safe = route.work is Work.IDEMPOTENT

    def start(self) -> None:
        """Send the request to one server."""
        self._request.on_gone = self.cancel
        self._tools.budgets.earn(self._service, self._tools.now_ms())
        hedge_ms = self._request.arrived_ms + self._pace.hedge_delay_ms
        self._timer.call_at(hedge_ms, self._hedge)
        if not self._ask():
            self._turn_away('no server of the service is known')

    def cancel(self) -> None:
        """Stop, as the caller is gone.

        What must not be repeated is left to finish, so that its work is not
        half done.
        """
        self._answer.drop()
        self._timer.stop()
        self._tools.log.event(
            'caller_gone',
            request=self._request.log_id,
            route=self._route.name,
        )
        for attempt in tuple(self._out):
            if self._is_safe or attempt.sent_ms is None:
                self._sender.give_up(attempt, is_slow=False)

    def _ask(self) -> bool:
        replica = self._choose()
        if replica is None:
            return False
        self._tried.append(replica.record.server)
        attempt = self._sender.send(replica, self._end, self._pace.deadline_ms)
        if not attempt.ended:
            self._out.append(attempt)
        return True

    def _choose(self) -> Replica[Pool] | None:
        return self._tools.replicas.choose(
            self._service, self._tools.now_ms(), self._tried
        )

    def _end(self, attempt: Attempt, ending: Outcome) -> None:
        self._sender.lessons.learn(attempt, ending)
        if attempt in self._out:
            self._out.remove(attempt)
        if not self._answer.is_due:
            return
        if is_good(ending) and isinstance(ending, Reply):
            self._pass_back(ending)
        else:
            self._go_on(attempt, ending)

    def _go_on(self, attempt: Attempt, ending: Outcome) -> None:
        """Decide what follows an attempt that failed."""
        has_run = attempt.sent_ms is not None and not (
            isinstance(ending, Reply) and not ending.ran
        )
        self._runs += has_run
        self._sender.log_failure(self._service, attempt, ending, ran=self._runs)
        if self._out:
            return
        if self._may_repeat(attempt, ending):
            self._ask()
            return
        if isinstance(ending, Reply) and ending.ran and _is_final(ending):
            self._pass_back(ending)
        elif self._runs:
            self._fail(HTTPStatus.BAD_GATEWAY, 'the server gave no whole reply')
        else:
            self._turn_away('no server takes the request now')

    def _may_repeat(self, attempt: Attempt, ending: Outcome) -> bool:
        if self._runs and not self._is_safe:
            return False
        if isinstance(ending, Reply) and ending.ran:
            if ending.status not in _SERVER_ERRORS:
                return False
        if self._runs >= self._route.attempts:
            return False
        if self._tools.now_ms() >= self._pace.end_ms or not self._choose():
            return False
        # Neither what was never sent nor what came to a wrong server is
        # load on the service.
        is_free = attempt.sent_ms is None or is_misdirected(ending)
        return is_free or self._sender.take_extra(self._service, 'retry')

    def _hedge(self) -> None:
        """Ask a second server when the first is slow, if that is allowed."""
        may_ask = (
            self._is_safe
            and len(self._out) == 1
            and len(self._tried) < self._route.attempts
            and self._choose() is not None
        )
        if may_ask and self._sender.take_extra(self._service, 'hedge'):
            self._ask()
        self._watch()

    def _watch(self) -> None:
        """Mark the servers that are slow, again whenever twice as late."""
        for attempt in self._out:
            self._sender.lessons.note_slow(attempt)
        waited_ms = self._tools.now_ms() - self._request.arrived_ms
        again_ms = self._request.arrived_ms + 2 * waited_ms
        if again_ms < self._pace.end_ms:
            self._timer.call_at(again_ms, self._watch)
        else:
            self._timer.call_at(self._pace.end_ms, self._run_out)

    def _run_out(self) -> None:
        """Give the final answer, as the time is over."""
        is_sent = any(attempt.sent_ms is not None for attempt in self._out)
        for attempt in tuple(self._out):
            self._sender.give_up(attempt, is_slow=True)
        self._out.clear()
        if is_sent or self._runs:
            self._fail(HTTPStatus.GATEWAY_TIMEOUT, 'no reply in time')
        else:
            self._turn_away('no server was free in time')

    def _pass_back(self, reply: Reply) -> None:
        headers = tuple(
            header
            for header in passed_on(reply.headers)
            if header[0] != b'date'
        )
        self._finish(Answer(reply.status, headers, reply.body))

    def _turn_away(self, reason: str) -> None:
        """Refuse; the request has not run and never will."""
        again_ms = _RETRY_AFTER_MS + self._tools.random.random() * (
            _RETRY_SPREAD_MS
        )
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._log_end('request_refused', status, reason)
        self._finish(refusal(status, reason, again_ms))

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        self._log_end('request_failed', status, reason)
        self._finish(refusal(status, reason))

    def _finish(self, answer: Answer) -> None:
        self._timer.stop()
        self._answer.give(answer)
        for slower in self._out:
            self._sender.give_up(slower, is_slow=True)
        self._out.clear()

    def _log_end(self, kind: str, status: HTTPStatus, reason: str) -> None:
        self._tools.log.event(
            kind,
            request=self._request.log_id,
            route=self._route.name,
            status=status.value,
            reason=reason,
            sent=len(self._tried),
            may_have_run=self._runs,
            waited_ms=round(self._tools.now_ms() - self._request.arrived_ms, 1),
        )


def _is_final(reply: Reply) -> bool:
    """Whether a failure is the server's own and is passed on unchanged."""
    return bool(reply.stamp) or reply.status not in _SERVER_ERRORS
