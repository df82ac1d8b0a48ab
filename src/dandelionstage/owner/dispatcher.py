"""Starts waiting work at backend servers with a free slot."""

from collections.abc import Iterable
from random import Random
from typing import final

from ..limits.queue import first_by_priority
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.contract import Priority
from ..model.ids import BackendId
from ..model.verdict import Reason, Verdict, not_run
from ..routing.replica_choice import Candidate, Chooser
from .lanes import Lane
from .messages import OwnerCommand, StartAttempt
from .replies import refuse
from .state import Attempt, OwnerState

__all__ = ('Dispatcher',)


@final
class Dispatcher:
    """Joins waiting work with free slots."""

    def __init__(
        self, state: OwnerState, choose: Chooser, random: Random
    ) -> None:
        """Start attempts with a way to choose among free servers."""
        self._state = state
        self._choose = choose
        self._random = random

    def fill(
        self, replicas: Iterable[BackendId], now_ms: float
    ) -> list[OwnerCommand]:
        """Start what may start at these servers, best server first."""
        commands: list[OwnerCommand] = []
        left = set(replicas)
        while left:
            opened = self._list_open(left, now_ms)
            if not opened:
                break
            best = self._choose(opened, self._random).backend
            started = self._start_next(best, now_ms)
            if not started:
                left.discard(best)
            commands.extend(started)
        return commands

    def _list_open(
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
            if state.lanes.feeding(backend) and state.find_slot(backend, now_ms)
        ]

    def _start_next(
        self, backend: BackendId, now_ms: float
    ) -> list[OwnerCommand]:
        hold = self._state.find_slot(backend, now_ms)
        if hold is None:
            return []
        waiting = self._take_next(backend, now_ms)
        if waiting is None:
            return []
        service_time = self._state.server(backend).service_time
        verdict = _judge_time(
            waiting.deadline_ms - now_ms,
            service_time.expected_ms(now_ms),
        )
        if verdict is not None:
            return [refuse(self._state.vm, waiting, verdict, now_ms)]
        hold = hold.until(waiting.deadline_ms)
        return [self._start(Attempt(waiting, backend, hold, now_ms))]

    def _start(self, attempt: Attempt) -> StartAttempt:
        self._state.server(attempt.backend).slots.use.acquire(attempt.hold)
        sub_request = attempt.waiting.sub_request
        self._state.attempts[sub_request.call] = attempt
        return StartAttempt(
            sub_request,
            attempt.backend,
            attempt.hold.until_ms,
        )

    def _take_next(
        self, backend: BackendId, now_ms: float
    ) -> QueuedSubRequest | None:
        firsts = _list_firsts(
            lane
            for lane in self._state.lanes.feeding(backend)
            if self._is_worth(lane, backend, now_ms)
        )
        turns = self._state.server(backend).turns
        priority = turns.pick(firsts)
        if priority is None:
            return None
        turns.record_start(priority, firsts)
        return self._state.lanes.remove(firsts[priority].call)

    def _is_worth(self, lane: Lane, backend: BackendId, now_ms: float) -> bool:
        """Say whether waiting for a faster replica would take longer."""
        found = self._state.server(backend)
        expected_ms = found.service_time.expected_ms(now_ms)
        return all(
            expected_ms <= self._state.finish_ms(other, len(lane.queue), now_ms)
            for other in lane.replicas
            if other != backend
        )


def _list_firsts(lanes: Iterable[Lane]) -> dict[Priority, QueuedSubRequest]:
    """Find the work that ends soonest for each priority."""
    firsts: dict[Priority, QueuedSubRequest] = {}
    for lane in lanes:
        for priority, first in first_by_priority(lane.queue).items():
            known = firsts.get(priority, first)
            firsts[priority] = min(first, known, key=_deadline_ms)
    return firsts


def _deadline_ms(waiting: QueuedSubRequest) -> float:
    return waiting.deadline_ms


def _judge_time(remaining_ms: float, expected_ms: float) -> Verdict | None:
    """Refuse what would end after its deadline."""
    if remaining_ms <= 0:
        return not_run(Reason.DEADLINE_EXPIRED)
    if remaining_ms < expected_ms:
        return not_run(Reason.TOO_LATE_TO_START)
    return None
