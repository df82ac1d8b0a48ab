"""What the ending of an attempt teaches about the server."""

from http import HTTPStatus
from typing import Final, final

from ..catalog.routes import Route
from ..placing.replicas import Replica
from .attempt import Attempt, NoReply, Outcome, Reply
from .run_context import Pool, RunContext

__all__ = ('Lessons', 'is_good', 'is_misdirected', 'outcome_of')

_FIRST_SUCCESS: Final = 200
_FIRST_REDIRECT: Final = 300
#: A server that sheds is full; counted as this much slower than usual.
_SHED_RATIO: Final = 5.0
#: A failure this close to its deadline is due to the deadline.
_OVER_MS: Final = 8.0
#: Endings that say nothing of the server.
_BLAMELESS: Final = frozenset((NoReply.WITHDRAWN, NoReply.EXPIRED))


def is_good(ending: Outcome) -> bool:
    """Whether an ending is a whole, signed success."""
    if not isinstance(ending, Reply) or not ending.ran:
        return False
    if not _FIRST_SUCCESS <= ending.status < _FIRST_REDIRECT:
        return False
    return bool(ending.stamp) and not ending.is_encoded


def is_misdirected(ending: Outcome) -> bool:
    """Whether another server has the address."""
    return (
        isinstance(ending, Reply)
        and ending.status == HTTPStatus.MISDIRECTED_REQUEST
        and not ending.ran
    )


def outcome_of(ending: Outcome) -> str:
    """Name an ending in a log line."""
    if not isinstance(ending, Reply):
        return ending.value
    return '{0}{1}'.format(ending.status, '' if ending.ran else ' not run')


@final
class Lessons:
    """Tells the servers' estimates what became of attempts on one route."""

    def __init__(self, route: Route, tools: RunContext) -> None:
        """Learn about the servers of one route."""
        self._route = route
        self._tools = tools
        self._usual_ms = tools.response_times.usual_ms(route.name)

    def learn(self, attempt: Attempt, ending: Outcome) -> None:
        """Take in what an ending says of the server."""
        replica = self._tools.replica_of(attempt.server)
        if replica is None or ending in _BLAMELESS:
            return
        if is_good(ending):
            self._learn_time(replica, attempt)
        elif isinstance(ending, Reply):
            self._learn_failure(replica, attempt, ending)
        else:
            replica.slowness.fail(self._tools.now_ms())
        self._log_mark(replica, attempt, outcome_of(ending))

    def note_slow(self, attempt: Attempt) -> None:
        """Take in that an attempt is not answered yet."""
        replica = self._tools.replica_of(attempt.server)
        if replica is not None:
            now_ms = self._tools.now_ms()
            ratio = self._ratio(now_ms - attempt.started_ms)
            replica.slowness.observe_unfinished(ratio, now_ms)
            self._log_mark(replica, attempt, 'no answer yet')

    def _log_mark(
        self, replica: Replica[Pool], attempt: Attempt, evidence: str
    ) -> None:
        """Log when a server becomes slow or usual again."""
        if not replica.may_be_marked:
            return
        now_ms = self._tools.now_ms()
        is_slow = replica.mark(now_ms)
        if is_slow is not None:
            self._tools.log.event(
                'server_slow' if is_slow else 'server_usual',
                request=attempt.request_id.decode('latin-1'),
                server=attempt.server,
                service=replica.record.service,
                ratio=round(replica.slowness.ratio(now_ms), 1),
                evidence=evidence,
                waited_ms=round(now_ms - attempt.started_ms, 1),
            )

    def _learn_time(self, replica: Replica[Pool], attempt: Attempt) -> None:
        now_ms = self._tools.now_ms()
        elapsed_ms = now_ms - attempt.started_ms
        replica.throttle.answer(now_ms)
        replica.slowness.observe(self._ratio(elapsed_ms), now_ms)
        self._tools.response_times.add(self._route.name, elapsed_ms)
        self._tools.log.counts.part(self._route.name, elapsed_ms)

    def _learn_failure(
        self, replica: Replica[Pool], attempt: Attempt, reply: Reply
    ) -> None:
        now_ms = self._tools.now_ms()
        replica.throttle.hear()
        if is_misdirected(reply):
            self._tools.log.event(
                'server_replaced',
                request=attempt.request_id.decode('latin-1'),
                server=attempt.server,
            )
            self._tools.replicas.drop(attempt.server)
        elif now_ms >= attempt.deadline_ms - _OVER_MS:
            # It stopped at the deadline that it was given.
            self.note_slow(attempt)
        elif reply.ran:
            replica.slowness.fail(now_ms)
        else:
            replica.slowness.observe_unfinished(_SHED_RATIO, now_ms)

    def _ratio(self, elapsed_ms: float) -> float:
        return elapsed_ms / self._usual_ms
