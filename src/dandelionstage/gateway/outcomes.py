"""Classification of attempt outcomes and their effect on server estimates."""

from http import HTTPStatus
from typing import Final, final

from ..catalog.routes import Route
from ..placing.replicas import Replica
from .attempt import Attempt, NoReply, Outcome, Reply
from .run_context import Pool, RunContext

__all__ = ('OutcomeRecorder', 'is_misdirected', 'is_success', 'outcome_label')

_FIRST_SUCCESS: Final = 200
_FIRST_REDIRECT: Final = 300
#: A server that sheds load is at capacity; its reply counts as this many times
#: slower than usual.
_SHED_RATIO: Final = 5.0
#: A failure this close to the deadline is attributed to the deadline.
_DEADLINE_MARGIN_MS: Final = 8.0
#: Outcomes that say nothing about the state of the server.
_NOT_SERVER_FAULTS: Final = frozenset(
    (NoReply.WITHDRAWN, NoReply.EXPIRED, NoReply.LIMITED)
)


def is_success(outcome: Outcome) -> bool:
    """Whether an outcome is a signed 2xx reply without a content encoding."""
    if not isinstance(outcome, Reply) or not outcome.ran:
        return False
    if not _FIRST_SUCCESS <= outcome.status < _FIRST_REDIRECT:
        return False
    return bool(outcome.stamp) and not outcome.is_encoded


def is_misdirected(outcome: Outcome) -> bool:
    """Whether a reply shows that the address belongs to another server.

    That server answers 421 and does not run the request.
    """
    return (
        isinstance(outcome, Reply)
        and outcome.status == HTTPStatus.MISDIRECTED_REQUEST
        and not outcome.ran
    )


def outcome_label(outcome: Outcome) -> str:
    """Return the text for an outcome in log lines."""
    if not isinstance(outcome, Reply):
        return outcome.value
    return '{0}{1}'.format(outcome.status, '' if outcome.ran else ' not run')


@final
class OutcomeRecorder:
    """Updates slowness and throttling of servers from attempts on one route."""

    def __init__(self, route: Route, context: RunContext) -> None:
        """Create a recorder for the attempts on a route."""
        self._route = route
        self._context = context
        self._median_ms = context.response_times.median_ms(route.name)
        self._base = context.base_times.of_route(route.name)

    def record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Update the estimates of a server from the outcome of an attempt."""
        replica = self._context.replica_of(attempt.server)
        if replica is not None and outcome is NoReply.LIMITED:
            # Queries over many such servers wait for each other's parts.
            now_ms = self._context.now_ms()
            replica.throttle.withdraw(now_ms)
            replica.queue.raise_to(self._route.target_ms, now_ms)
        if replica is None or outcome in _NOT_SERVER_FAULTS:
            return
        if replica.is_remote and isinstance(outcome, Reply):
            self._context.replicas.remote_answer_ms = self._context.now_ms()
        if is_success(outcome):
            self._record_success(replica, attempt)
        elif isinstance(outcome, Reply):
            self._record_failed_reply(replica, attempt, outcome)
        else:
            replica.slowness.observe_failure(self._context.now_ms())
        self._log_slowness_change(replica, attempt, outcome_label(outcome))

    def record_slow(self, attempt: Attempt) -> None:
        """Update the estimates of a server that has not replied yet."""
        replica = self._context.replica_of(attempt.server)
        if replica is None:
            return
        is_unpermitted = attempt.sent_ms is None and replica.pool.limit.per_s
        if not is_unpermitted:
            now_ms = self._context.now_ms()
            ratio = self._ratio(now_ms - attempt.started_ms)
            replica.slowness.observe_unfinished(ratio, now_ms)
            if attempt.sent_ms is not None:
                replica.queue.raise_to(
                    now_ms - attempt.sent_ms - self._base.base_ms, now_ms
                )
            self._log_slowness_change(replica, attempt, 'no answer yet')

    def _log_slowness_change(
        self, replica: Replica[Pool], attempt: Attempt, evidence: str
    ) -> None:
        """Log when a server becomes slow or returns to its usual speed.

        :param evidence: reason given in the log line.
        """
        if not replica.may_change_slow_state:
            return
        now_ms = self._context.now_ms()
        is_slow = replica.update_slow_state(now_ms)
        if is_slow is not None:
            self._context.log.event(
                'server_slow' if is_slow else 'server_usual',
                request=attempt.request_id.decode('latin-1'),
                server=attempt.server,
                service=replica.record.service,
                ratio=round(replica.slowness.ratio(now_ms), 1),
                evidence=evidence,
                waited_ms=round(now_ms - attempt.started_ms, 1),
            )

    def _record_success(self, replica: Replica[Pool], attempt: Attempt) -> None:
        now_ms = self._context.now_ms()
        elapsed_ms = now_ms - attempt.started_ms
        served_ms = now_ms - (attempt.sent_ms or attempt.started_ms)
        self._base.add(served_ms, now_ms)
        replica.queue.observe(served_ms - self._base.base_ms, now_ms)
        replica.throttle.record_answer(now_ms)
        replica.slowness.observe(self._ratio(elapsed_ms), now_ms)
        if replica.pace is not None:
            ratio = self._ratio(served_ms)
            replica.pace.observe(ratio, attempt.at_work, now_ms)
        self._context.response_times.add(self._route.name, elapsed_ms)
        self._context.log.counts.part(self._route.name, elapsed_ms)

    def _record_failed_reply(
        self, replica: Replica[Pool], attempt: Attempt, reply: Reply
    ) -> None:
        now_ms = self._context.now_ms()
        replica.throttle.record_reply()
        if is_misdirected(reply):
            self._context.log.event(
                'server_replaced',
                request=attempt.request_id.decode('latin-1'),
                server=attempt.server,
            )
            self._context.replicas.drop(attempt.server)
        elif now_ms >= attempt.deadline_ms - _DEADLINE_MARGIN_MS:
            # The server stopped at the deadline in the request.
            self.record_slow(attempt)
        elif reply.ran:
            replica.slowness.observe_failure(now_ms)
        else:
            replica.slowness.observe_unfinished(_SHED_RATIO, now_ms)
            # It would not reply in time.
            replica.queue.raise_to(self._route.target_ms, now_ms)

    def _ratio(self, elapsed_ms: float) -> float:
        return elapsed_ms / self._median_ms
