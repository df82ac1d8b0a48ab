"""Starts waiting work at backend servers that have a free slot."""

from collections.abc import Iterable
from random import Random
from typing import final

from ..limits.queue import first_by_priority
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.contract import Priority
from ..model.ids import BackendId
from ..model.verdict import Reason, Verdict, not_run
from ..routing.replica_choice import Candidate, Chooser
from .messages import OwnerCommand, StartAttempt
from .owner_state import Attempt, OwnerState
from .replica_queues import ReplicaQueue
from .sub_replies import make_refusal

__all__ = ('Dispatcher',)


@final
class Dispatcher:
    """Assigns waiting work to free slots of backend servers."""

    def __init__(
        self, state: OwnerState, choose: Chooser, random: Random
    ) -> None:
        """Create the dispatcher of one owner.

        :param state: the servers, queues and attempts of the owner.
        :param choose: chooses one of several servers with a free slot.
        :param random: the source of random numbers for the choice.
        """
        self._state = state
        self._choose = choose
        self._random = random

    def dispatch(
        self, replicas: Iterable[BackendId], now_ms: float
    ) -> list[OwnerCommand]:
        """Start work at these servers while they have free slots.

        Work that cannot finish before its deadline is refused instead.
        """
        commands: list[OwnerCommand] = []
        remaining = set(replicas)
        while remaining:
            candidates = self._list_candidates(remaining, now_ms)
            if not candidates:
                break
            best = self._choose(candidates, self._random).backend
            started = self._start_next(best, now_ms)
            if not started:
                remaining.discard(best)
            commands.extend(started)
        return commands

    def _list_candidates(
        self, replicas: Iterable[BackendId], now_ms: float
    ) -> list[Candidate]:
        state = self._state
        return [
            Candidate(
                backend,
                state.server(backend).slots.use.in_flight,
                state.server(backend).service_time.expected_ms(now_ms),
            )
            for backend in sorted(replicas)
            if state.queues.list_for(backend)
            and state.find_slot(backend, now_ms)
        ]

    def _start_next(
        self, backend: BackendId, now_ms: float
    ) -> list[OwnerCommand]:
        hold = self._state.find_slot(backend, now_ms)
        if hold is None:
            return []
        queued = self._take_next(backend, now_ms)
        if queued is None:
            return []
        service_time = self._state.server(backend).service_time
        verdict = _check_deadline(
            queued.deadline_ms - now_ms,
            service_time.expected_ms(now_ms),
        )
        if verdict is not None:
            return [make_refusal(self._state.vm, queued, verdict, now_ms)]
        hold = hold.until(queued.deadline_ms)
        return [self._start(Attempt(queued, backend, hold, now_ms))]

    def _start(self, attempt: Attempt) -> StartAttempt:
        self._state.server(attempt.backend).slots.use.acquire(attempt.hold)
        sub_request = attempt.queued.sub_request
        self._state.attempts[sub_request.call] = attempt
        return StartAttempt(
            sub_request,
            attempt.backend,
            attempt.hold.until_ms,
        )

    def _take_next(
        self, backend: BackendId, now_ms: float
    ) -> QueuedSubRequest | None:
        earliest = _find_earliest(
            queue
            for queue in self._state.queues.list_for(backend)
            if self._is_fastest(queue, backend, now_ms)
        )
        priorities = self._state.server(backend).priorities
        priority = priorities.pick(earliest)
        if priority is None:
            return None
        priorities.record_start(priority, earliest)
        return self._state.queues.remove(earliest[priority].call)

    def _is_fastest(
        self, queue: ReplicaQueue, backend: BackendId, now_ms: float
    ) -> bool:
        """Return whether a server finishes a queue's work as early as any.

        The server has a free slot. The estimate for any other replica of the
        queue includes the wait for its slots.
        """
        server = self._state.server(backend)
        expected_ms = server.service_time.expected_ms(now_ms)
        return all(
            expected_ms
            <= self._state.estimate_ms(other, len(queue.work), now_ms)
            for other in queue.replicas
            if other != backend
        )


def _find_earliest(
    queues: Iterable[ReplicaQueue],
) -> dict[Priority, QueuedSubRequest]:
    """Return the work with the earliest deadline for each priority."""
    earliest: dict[Priority, QueuedSubRequest] = {}
    for queue in queues:
        for priority, first in first_by_priority(queue.work).items():
            current = earliest.get(priority, first)
            earliest[priority] = min(first, current, key=_deadline_ms)
    return earliest


def _deadline_ms(queued: QueuedSubRequest) -> float:
    return queued.deadline_ms


def _check_deadline(remaining_ms: float, expected_ms: float) -> Verdict | None:
    """Return the refusal of work that would end after its deadline."""
    if remaining_ms <= 0:
        return not_run(Reason.DEADLINE_EXPIRED)
    if remaining_ms < expected_ms:
        return not_run(Reason.TOO_LATE_TO_START)
    return None
