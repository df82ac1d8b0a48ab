"""Simulated servers with slots, a short queue and pauses."""

from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final, final

from dandelionstage.gateway.attempt import Attempt, NoReply, Reply
from dandelionstage.placing.send_limit import SendLimit

from .clock import Clock, Timer
from .load import Burst

__all__ = ('SimulatedPool', 'SimulatedServer')

#: Time of a message between a VM and a server.
NETWORK_MS: Final = 1.0
_ABANDON_GRACE_MS: Final = 300.0
_MS_PER_S: Final = 1000.0
_OK: Final = 200
_UNAVAILABLE: Final = 503
_TIMED_OUT: Final = 504


@final
class Job:
    def __init__(
        self, attempt: Attempt, work_ms: float, connection: 'SimulatedPool'
    ) -> None:
        self.attempt = attempt
        self.work_ms = work_ms
        self.connection = connection
        self.timer: Timer | None = None


@final
class SimulatedServer:  # noqa: WPS214 -- short methods
    """A few slots, a first-in-first-out queue, and pauses."""

    def __init__(
        self, clock: Clock, burst: Burst, random: Random, speed: float
    ) -> None:
        self.received = 0
        self._clock = clock
        self._burst = burst
        self._speed = speed
        self._running: list[Job] = []
        self._queue: deque[Job] = deque()
        self._paused_until_ms: float = 0
        first_ms = random.uniform(0, burst.pause_every_s) * _MS_PER_S
        clock.call_later(first_ms, self._pause)

    def receive(self, job: Job) -> None:
        self.received += 1
        if len(self._queue) >= self._burst.queue:
            self._reply(job, _reply(_UNAVAILABLE, ran=False))
            return
        self._queue.append(job)
        left_ms = job.attempt.deadline_ms - self._clock.now_ms
        job.timer = self._clock.call_later(
            max(0, left_ms), lambda: self._expire(job)
        )
        self._start_next()

    def drop(self, job: Job) -> None:
        if job.timer is not None:
            job.timer.cancel()
        if job in self._queue:
            self._queue.remove(job)
        elif job in self._running:
            self._running.remove(job)
            self._start_next()

    def _expire(self, job: Job) -> None:
        if job in self._queue:
            self._queue.remove(job)
            self._reply(job, _reply(_UNAVAILABLE, ran=False))

    def _start_next(self) -> None:
        if self._clock.now_ms < self._paused_until_ms:
            return
        while self._queue and len(self._running) < self._burst.slots:
            job = self._queue.popleft()
            self._running.append(job)
            if job.timer is not None:
                job.timer.cancel()
            work_ms = job.work_ms * self._speed
            left_ms = job.attempt.deadline_ms - self._clock.now_ms
            status = _OK if work_ms <= left_ms else _TIMED_OUT
            job.timer = self._clock.call_later(
                max(0, min(work_ms, left_ms)),
                partial(self._finish, job, status),
            )

    def _finish(self, job: Job, status: int) -> None:
        held_ms = self._paused_until_ms - self._clock.now_ms
        if held_ms > 0:
            job.timer = self._clock.call_later(
                held_ms, lambda: self._finish(job, status)
            )
            return
        if job in self._running:
            self._running.remove(job)
            self._reply(job, _reply(status, ran=True))
            self._start_next()

    def _reply(self, job: Job, reply: Reply) -> None:
        self._clock.call_later(
            NETWORK_MS, lambda: job.connection.receive(job, reply)
        )

    def _pause(self) -> None:
        burst = self._burst
        self._paused_until_ms = self._clock.now_ms + burst.pause_ms
        self._clock.call_later(burst.pause_ms, self._start_next)
        self._clock.call_later(burst.pause_every_s * _MS_PER_S, self._pause)


def _reply(status: int, *, ran: bool) -> Reply:
    stamp = 'stamp' if ran else ''
    return Reply(status, (), b'', stamp, ran=ran)


@final
class SimulatedPool:  # noqa: WPS214 -- the methods of a pool
    """Connections of one VM to one server."""

    def __init__(
        self,
        clock: Clock,
        server: SimulatedServer,
        work: Callable[[bytes], float],
    ) -> None:
        self.has_idle_connection = True
        self.limit = SendLimit()
        self._clock = clock
        self._server = server
        self._work = work
        self._jobs: dict[int, Job] = {}

    @property
    def load(self) -> int:
        return len(self._jobs)

    def submit(self, attempt: Attempt) -> None:
        attempt.started_ms = self._clock.now_ms
        attempt.sent_ms = self._clock.now_ms
        job = Job(attempt, self._work(attempt.request_id), self)
        self._jobs[id(attempt)] = job
        self._clock.call_later(NETWORK_MS, lambda: self._server.receive(job))

    def abandon(self, attempt: Attempt) -> None:
        attempt.ended = True
        job = self._jobs.get(id(attempt))
        if job is not None:
            self._clock.call_later(
                _ABANDON_GRACE_MS, lambda: self._close(attempt, job)
            )

    def receive(self, job: Job, reply: Reply) -> None:
        if self._jobs.pop(id(job.attempt), None) is not None:
            job.attempt.end(reply)

    def retire(self) -> None:
        """Do nothing: servers stay."""

    def warm_up(self, per_s: float, until_ms: float) -> None:
        """Limit the server while it is cold."""
        self.limit.warm_up(per_s, until_ms)

    def _close(self, attempt: Attempt, job: Job) -> None:
        if self._jobs.pop(id(attempt), None) is not None:
            self._server.drop(job)
            attempt.end(NoReply.BROKEN)
