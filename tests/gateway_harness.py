"""Test harness for gateway runs with manual timers and fake servers."""

import heapq
import itertools
from random import Random

from dandelionstage.catalog.routes import (
    Gather,
    RepeatPolicy,
    Route,
    ServiceId,
    TrafficShare,
)
from dandelionstage.catalog.servers import ServerRecord, ServerState
from dandelionstage.gateway.attempt import Reply
from dandelionstage.gateway.delivery_times import DeliveryTimes
from dandelionstage.gateway.reply_reader import HeaderNames
from dandelionstage.gateway.request_schedule import (
    LagEstimate,
    NetworkMargins,
    schedule_request,
)
from dandelionstage.gateway.requests import CallerRequest
from dandelionstage.gateway.run_context import RouteResponseTimes, RunContext
from dandelionstage.operations.events import EventLog
from dandelionstage.placing.fleet_retry_budget import (
    FleetRetryBudgets,
    RetryBudgetLimits,
)
from dandelionstage.placing.replicas import Replicas
from dandelionstage.placing.send_limit import SendLimit

HEADER_NAMES = HeaderNames(
    request_id=b'x-id',
    time_left=b'x-left',
    stamp=b'x-stamp',
    target=b'x-target',
    not_run=b'x-not-run',
    parts=b'x-parts',
    missing=b'x-missing',
    limit=b'x-limit',
    leaving=b'x-leaving',
)


class ManualTimers:
    """A clock with timers that advances only when told to."""

    def __init__(self):
        self.now_ms = 0.0
        self._due = []
        self._order = itertools.count()

    def call_later(self, wait_ms, action):
        timer = _Timer(action)
        heapq.heappush(
            self._due, (self.now_ms + wait_ms, next(self._order), timer)
        )
        return timer

    def advance(self, until_ms):
        while self._due and self._due[0][0] <= until_ms:
            due_ms, _, timer = heapq.heappop(self._due)
            self.now_ms = max(self.now_ms, due_ms)
            timer.run()
        self.now_ms = until_ms


class _Timer:
    def __init__(self, action):
        self._action = action

    def cancel(self):
        self._action = None

    def run(self):
        if self._action is not None:
            self._action()


class FakePool:
    """Connection pool that stores attempts for the test to end.

    :ivar is_reachable: whether attempts are sent; else they wait unsent.
    """

    def __init__(self, record, timers):
        self.record = record
        self.timers = timers
        self.attempts = []
        self.abandoned = []
        self.is_retired = False
        self.has_idle_connection = True
        self.is_reachable = True
        self.limit = SendLimit()

    @property
    def load(self):
        return sum(not attempt.ended for attempt in self.attempts)

    def submit(self, attempt):
        attempt.started_ms = self.timers.now_ms
        if self.is_reachable:
            attempt.sent_ms = self.timers.now_ms
        self.attempts.append(attempt)

    def abandon(self, attempt):
        attempt.ended = True
        self.abandoned.append(attempt)

    def retire(self):
        self.is_retired = True


class GatewayHarness:
    """Gateway of one VM with fake servers, answers and log lines recorded."""

    def __init__(self, servers, *, seed=1, budget=1000.0):
        self.timers = ManualTimers()
        self.lines = []
        self.pools = {}
        self.answers = []
        random = Random(seed)
        self.replicas = Replicas('here', self._make_pool, random)
        for service, count in servers.items():
            for number in range(count):
                self.add_server(service, '{0}-{1}'.format(service, number))
        self.log = EventLog(self._write, lambda: self.timers.now_ms)
        self.context = RunContext(
            replicas=self.replicas,
            budgets=FleetRetryBudgets(
                RetryBudgetLimits(0.2, budget, 10), lambda: 1
            ),
            response_times=RouteResponseTimes(),
            answer_lag=LagEstimate(),
            delivery_times=DeliveryTimes(),
            header_names=HEADER_NAMES,
            log=self.log,
            now_ms=lambda: self.timers.now_ms,
            call_later=self.timers.call_later,
            random=random,
        )

    def add_server(self, service, server):
        self.replicas.update(
            ServerRecord(
                server=server,
                service=service,
                host='127.0.0.1',
                port=1,
                data_centre='here',
                slots=2,
                state=ServerState.LIVE,
            ),
            self.timers.now_ms,
        )

    def pending(self, service):
        """List the attempts at a service that have not ended."""
        return [
            attempt
            for pool in self.pools.values()
            if pool.record.service == service
            for attempt in pool.attempts
            if not attempt.ended
        ]

    def submitted(self, service):
        """List all attempts at a service, also unsent and ended ones."""
        return [
            attempt
            for pool in self.pools.values()
            if pool.record.service == service
            for attempt in pool.attempts
        ]

    def events(self, kind):
        return self.log.counts.events[kind]

    def start(self, run_class, route, request):
        schedule = schedule_request(request, route, None, NetworkMargins())
        run = run_class(
            request, route, schedule, self.context, self.answers.append
        )
        run.start()
        return run

    def _make_pool(self, record):
        pool = FakePool(record, self.timers)
        self.pools[record.server] = pool
        return pool

    def _write(self, data):
        self.lines.append(data)
        return len(data)


def success_reply(body=b'', stamp='s.1', status=200):
    return Reply(status, ((b'x-stamp', stamp.encode()),), body, stamp, ran=True)


def shed_reply(status=503):
    return Reply(status, ((b'x-not-run', b'1'),), b'', '', ran=False)


def failed_reply(status=500, stamp='f.1'):
    return Reply(status, (), b'oops', stamp, ran=True)


def make_request(*, time_left_ms=1500.0, method=b'GET', body=b''):
    return CallerRequest(
        method=method,
        target=b'/a/b',
        host='h.example',
        headers=((b'host', b'h.example'), (b'x-id', b'r1')),
        body=body,
        request_id=b'r1',
        time_left_ms=time_left_ms,
        arrived_ms=0.0,
        is_connection_reused=True,
    )


def gather_route(shards, *, least_coverage=0.9, attempts=2, target_ms=100.0):
    return Route(
        name='q',
        host='h.example',
        prefix='/a/',
        repeat_policy=RepeatPolicy.IDEMPOTENT,
        timeout_ms=1500,
        target_ms=target_ms,
        attempts=attempts,
        priority=1,
        gather=Gather(tuple(map(ServiceId, shards)), 3, least_coverage),
    )


def single_route(
    *, repeat_policy=RepeatPolicy.ONCE, attempts=2, timeout_ms=6000
):
    return Route(
        name='one',
        host='h.example',
        prefix='/a/',
        repeat_policy=repeat_policy,
        timeout_ms=timeout_ms,
        target_ms=400,
        attempts=attempts,
        priority=2,
        shares=(TrafficShare(ServiceId('s'), 1),),
    )
