"""Gateways of many VMs over simulated servers, and their callers."""

import itertools
from functools import partial
from random import Random
from typing import Any, Final, final

from dandelionstage.catalog.routes import (
    Gather,
    RepeatPolicy,
    Route,
    ServiceId,
)
from dandelionstage.catalog.servers import ServerId, ServerRecord, ServerState
from dandelionstage.gateway.delivery_times import DeliveryTimes
from dandelionstage.gateway.gateway import Gateway
from dandelionstage.gateway.reply_reader import HeaderNames
from dandelionstage.gateway.request_schedule import LagEstimate, NetworkMargins
from dandelionstage.gateway.requests import Answer, CallerRequest
from dandelionstage.gateway.run_context import (
    Pool,
    RouteResponseTimes,
    RunContext,
)
from dandelionstage.operations.events import EventLog
from dandelionstage.placing.fleet_retry_budget import (
    FleetRetryBudgets,
    RetryBudgetLimits,
)
from dandelionstage.placing.replicas import Replicas

from .clock import Clock
from .load import RATIO, SLACK, Burst, Kind, Outcomes
from .servers import NETWORK_MS, SimulatedPool, SimulatedServer

__all__ = ('Replay',)

_NAMES: Final = HeaderNames(
    b'id',
    b'left',
    b'stamp',
    b'target',
    b'not-run',
    b'parts',
    b'missing',
    b'limit',
    b'leaving',
)
_MS_PER_S: Final = 1000.0
_OK: Final = 200
_UNAVAILABLE: Final = 503
#: A caller waits as long as it is told, but at most this part of its time.
_MAX_WAIT_FRACTION: Final = 1 / 3
#: Budget of extra attempts of the whole fleet.
_BUDGET: Final = RetryBudgetLimits(RATIO, SLACK, window_s=10)
#: Work varies around the mean; one request in a hundred takes five times as
#: long.
_SPREAD: Final = 0.35
_LONG_SHARE: Final = 0.01
_LONG_FACTOR: Final = 5
_SPEEDS: Final = (0.8, 1.0, 1.3)


@final
class Routes:
    """Catalog whose routes are found by the path."""

    version = 1
    usable = True

    def __init__(self, burst: Burst) -> None:
        services = tuple(
            ServiceId('s{0}'.format(number)) for number in range(burst.shards)
        )
        self._routes = {
            kind.name: _route(kind, services) for kind in burst.kinds
        }

    @property
    def routes(self) -> 'Routes':
        return self

    def find(self, host: str, path: str) -> Route:
        return self._routes[path.strip('/')]


def _route(kind: Kind, services: tuple[ServiceId, ...]) -> Route:
    return Route(
        name=kind.name,
        host='h',
        prefix='/{0}/'.format(kind.name),
        repeat_policy=RepeatPolicy.IDEMPOTENT,
        timeout_ms=kind.deadline_ms,
        target_ms=kind.target_ms,
        attempts=2,
        priority=kind.priority,
        gather=Gather(services, 10, kind.coverage),
    )


@final
class _Caller:
    """A caller with one query, which returns once if it fails.

    :ivar sent_ms: time of the last try.
    """

    def __init__(self, kind: Kind, first_ms: float) -> None:
        self.kind = kind
        self.first_ms = first_ms
        self.sent_ms = first_ms
        self.has_returned = False

    def name_answer(self, received_ms: float) -> str:
        """Return how timely an answer is."""
        target_ms = self.kind.target_ms
        if received_ms - self.first_ms <= target_ms:
            return 'in_time'
        return 'returned' if received_ms - self.sent_ms <= target_ms else 'late'

    def left_ms(self, now_ms: float) -> float:
        """Return how long the caller still waits."""
        return self.first_ms + self.kind.deadline_ms - now_ms


@final
class Replay:  # noqa: WPS214 -- short methods
    def __init__(self, burst: Burst, seed: int) -> None:
        self.outcomes = Outcomes()
        self._burst = burst
        self._random = Random(seed)
        self._arrivals = Random(seed)
        self._clock = Clock()
        self._ids = itertools.count()
        self._kinds: dict[bytes, Kind] = {}
        self._servers = {
            ServerId('s{0}-{1}'.format(shard, replica)): SimulatedServer(
                self._clock,
                burst,
                self._random,
                self._random.choice(_SPEEDS),
            )
            for shard in range(burst.shards)
            for replica in range(burst.replicas)
        }
        self._gateways = [self._make_gateway(vm) for vm in range(burst.vms)]

    def run(self) -> Outcomes:
        self._arrive()
        self._clock.run(self._burst.end_s * _MS_PER_S)
        self.outcomes.sub_requests = sum(
            server.received for server in self._servers.values()
        )
        return self.outcomes

    def _make_gateway(self, number: int) -> Gateway:
        random = Random(self._random.random())
        context = RunContext(
            replicas=self._make_replicas(random),
            budgets=FleetRetryBudgets(_BUDGET, lambda: self._burst.vms),
            response_times=RouteResponseTimes(),
            answer_lag=LagEstimate(),
            delivery_times=DeliveryTimes(),
            header_names=_NAMES,
            log=EventLog(len, self._now_ms),
            now_ms=self._now_ms,
            call_later=self._clock.call_later,
            random=random,
        )
        routes: Any = Routes(self._burst)
        return Gateway(routes, context, NetworkMargins())

    def _make_replicas(self, random: Random) -> Replicas[Pool]:
        replicas: Replicas[Pool] = Replicas('here', self._make_pool, random)
        for server in self._servers:
            record = ServerRecord(
                server=server,
                service=ServiceId(server.partition('-')[0]),
                host='h',
                port=1,
                data_centre='here',
                slots=self._burst.slots,
                state=ServerState.LIVE,
            )
            replicas.update(record, 0)
        return replicas

    def _make_pool(self, record: ServerRecord) -> SimulatedPool:
        server = self._servers[record.server]
        return SimulatedPool(self._clock, server, self._draw_work_ms)

    def _now_ms(self) -> float:
        return self._clock.now_ms

    def _draw_work_ms(self, request_id: bytes) -> float:
        work_ms = self._kinds[request_id].work_ms
        if self._random.random() < _LONG_SHARE:
            work_ms *= _LONG_FACTOR
        return work_ms * self._random.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)

    def _arrive(self) -> None:
        burst = self._burst
        per_s = burst.rate_at(self._clock.now_ms / _MS_PER_S)
        wait_ms = self._arrivals.expovariate(per_s) * _MS_PER_S
        self._clock.call_later(wait_ms, self._arrive)
        shares = [each.share for each in burst.kinds]
        kind = self._arrivals.choices(burst.kinds, shares)[0]
        self._ask(_Caller(kind, self._clock.now_ms))

    def _ask(self, caller: '_Caller') -> None:
        kind = caller.kind
        caller.sent_ms = self._clock.now_ms
        request_id = b'r%d' % next(self._ids)
        self._kinds[request_id] = kind
        request = CallerRequest(
            method=b'GET',
            target=b'/%b/' % kind.name.encode(),
            host='h',
            headers=(),
            body=b'',
            request_id=request_id,
            time_left_ms=caller.left_ms(caller.sent_ms),
            arrived_ms=caller.sent_ms,
            is_connection_reused=True,
            round_trip_ms=2 * NETWORK_MS,
        )
        self._random.choice(self._gateways).handle(
            request, partial(self._receive, caller)
        )

    def _receive(self, caller: '_Caller', answer: Answer) -> None:
        left_ms = caller.left_ms(self._clock.now_ms)
        is_final = answer.status == _OK or caller.has_returned
        if is_final or left_ms <= 1:
            self._note(caller, answer)
            return
        caller.has_returned = True
        retry_after = dict(answer.headers).get(b'retry-after')
        wait_ms = _MS_PER_S * float(retry_after) if retry_after else 0
        self._clock.call_later(
            min(wait_ms, left_ms * _MAX_WAIT_FRACTION),
            partial(self._ask, caller),
        )

    def _note(self, caller: '_Caller', answer: Answer) -> None:
        received_ms = self._clock.now_ms + 2 * NETWORK_MS
        outcomes = self.outcomes
        if answer.status == _UNAVAILABLE:
            outcomes.held_ms.append(self._clock.now_ms - caller.sent_ms)
            name = 'refused'
        elif answer.status == _OK:
            name = caller.name_answer(received_ms)
        else:
            name = 'failed'
        outcomes.note(caller.kind.name, caller.first_ms / _MS_PER_S, name)
