"""What is sent of a request under which servers end, on fake servers."""

import asyncio

import pytest

from dandelionstage.catalog.routes import RepeatPolicy
from dandelionstage.catalog.servers import ServerRecord, ServerState
from dandelionstage.gateway.attempt import Attempt, NoReply
from dandelionstage.gateway.clock import now_ms
from dandelionstage.gateway.gateway import Gateway
from dandelionstage.gateway.request_schedule import NetworkMargins
from dandelionstage.gateway.server_pool import ServerPool
from dandelionstage.placing.deadly_requests import (
    CLAIM_MS,
    TRIAL_MS,
    Verdict,
)
from dandelionstage.relaying.messages import RelayAcceptance
from dandelionstage.relaying.relay_listener import RelayListener

from .gateway_harness import (
    HEADER_NAMES,
    GatewayHarness,
    gather_route,
    make_request,
    single_route,
    success_reply,
)
from .test_relay_run import RelayHarness
from .test_relay_run import make_request as make_relay_request
from .test_relay_vm import FakeConnection

SHARDS = tuple('s{0}'.format(number) for number in range(10))
WORK_MS = 30
ENDED = NoReply.SERVER_ENDED
RESTART_MS = 5000


class OneRoute:
    """Catalog with a single route."""

    version = 1
    usable = True

    def __init__(self, route):
        self._route = route

    @property
    def routes(self):
        return self

    def find(self, host, path):
        return self._route


class Harness(GatewayHarness):
    """A gateway with one route, whose servers end or answer on command."""

    def __init__(self, route, *, replicas=2):
        services = SHARDS if route.gather else ('s',)
        super().__init__(dict.fromkeys(services, replicas))
        self.services = services
        self.gateway = Gateway(OneRoute(route), self.context, NetworkMargins())

    @property
    def deadly(self):
        return self.context.deadly

    @property
    def verdict(self):
        return self.deadly.verdict(make_request().digest, self.timers.now_ms)

    def handle(self, **fields):
        request = make_request(**fields)
        request.arrived_ms = self.timers.now_ms
        self.gateway.handle(request, self.answers.append)
        return request

    def advance(self, wait_ms=WORK_MS):
        self.timers.advance(self.timers.now_ms + wait_ms)

    def all_pending(self):
        return [
            attempt
            for service in self.services
            for attempt in self.pending(service)
        ]

    def end_all(self, outcome=ENDED):
        """Let all servers that have the request end after some work."""
        self.advance()
        pending = self.all_pending()
        for attempt in pending:
            if not attempt.ended:
                attempt.end(outcome)
        return len(pending)

    def answer_all(self):
        self.advance()
        for attempt in self.all_pending():
            attempt.end(success_reply(stamp='t-{0}'.format(attempt.server)))


def gather_harness(**more):
    return Harness(gather_route(SHARDS), **more)


def test_query_that_ends_all_its_servers_is_sent_to_one_at_a_time():
    """Guards against retries and hedges that end the other servers too."""
    harness = gather_harness()
    harness.handle()
    assert harness.end_all() == len(SHARDS)
    # The other server of each shard is up in this harness.
    assert harness.end_all() == 1
    assert harness.end_all() == 1
    assert not harness.all_pending()
    assert harness.answers[0].status == 502
    assert harness.verdict is Verdict.DEADLY


def test_known_deadly_request_is_rejected_at_once():
    harness = gather_harness()
    harness.handle()
    for _ in range(3):
        harness.end_all()
    harness.handle()
    answer = harness.answers[-1]
    assert answer.status == 503
    assert float(dict(answer.headers)[b'retry-after']) > 3000
    # "Not run" is true: nothing is sent.
    assert not harness.all_pending()


def test_no_hedge_while_servers_end_and_none_answers():
    harness = gather_harness()
    harness.handle()
    harness.advance()
    harness.pending('s0')[0].end(ENDED)
    harness.advance(30)
    assert len(harness.all_pending()) == len(SHARDS) - 1
    # The first answer releases the retry, and the hedges that were due.
    harness.pending('s1')[0].end(success_reply(stamp='a'))
    assert harness.pending('s0')
    assert len(harness.pending('s2')) == 2


def test_server_that_ends_beside_answers_is_replaced_at_once():
    """A crash costs an innocent query no more than before."""
    harness = gather_harness()
    harness.handle()
    harness.pending('s1')[0].end(success_reply(stamp='a'))
    harness.pending('s0')[0].end(ENDED)
    assert len(harness.pending('s0')) == 1
    assert harness.verdict is Verdict.UNSUSPECTED
    assert not len(harness.deadly)


def test_innocent_query_that_lost_all_its_servers_is_answered():
    harness = gather_harness()
    harness.handle()
    harness.end_all()
    harness.answer_all()
    assert harness.verdict is Verdict.UNSUSPECTED
    harness.answer_all()
    assert harness.answers[0].status == 200


def test_repeats_of_a_suspect_query_wait_for_its_trial():
    harness = gather_harness()
    harness.handle()
    harness.end_all()
    assert harness.verdict is Verdict.ON_TRIAL
    harness.handle()
    assert len(harness.all_pending()) == 1
    assert not harness.answers
    harness.answer_all()
    # The trial was answered, so both go on.
    harness.advance()
    harness.answer_all()
    harness.answer_all()
    assert [answer.status for answer in harness.answers] == [200, 200]


def test_repeat_of_a_suspect_query_is_refused_if_its_trial_has_no_outcome():
    harness = gather_harness()
    harness.handle()
    harness.end_all()
    harness.handle(time_left_ms=600)
    harness.advance(320)
    assert harness.answers[0].status == 503
    assert dict(harness.answers[0].headers)[b'retry-after']


def test_last_server_of_a_shard_is_spared_until_others_have_restarted():
    """Guards against a trial that takes a shard away from all callers."""
    harness = gather_harness()
    harness.handle()
    for pool in harness.pools.values():
        is_asked = bool(pool.attempts)
        pool.has_idle_connection = not is_asked
    harness.end_all()
    assert not harness.all_pending()
    assert harness.answers[0].status == 502
    harness.handle()
    harness.advance(CLAIM_MS + 20)
    # Not run, and said so.
    assert harness.answers[1].status == 503
    assert not harness.all_pending()
    harness.advance(RESTART_MS)
    harness.handle()
    harness.advance(CLAIM_MS + 20)
    assert len(harness.all_pending()) == 1


def test_trial_at_another_vm_is_waited_for_no_longer_than_it_takes():
    harness = Harness(gather_route(SHARDS, target_ms=600))
    harness.deadly.record_end(make_request().digest, 20, -90, -50)
    harness.deadly.begin_trial(make_request().digest, 0)
    harness.advance(TRIAL_MS)
    harness.handle()
    # Another VM may claim the trial as well.
    assert not harness.all_pending()
    harness.advance(CLAIM_MS + 20)
    assert len(harness.all_pending()) == 1
    harness.answer_all()
    # The others are queried only now.
    assert len(harness.all_pending()) == len(SHARDS) - 1
    harness.answer_all()
    assert harness.answers[0].status == 200
    stamps = dict(harness.answers[0].headers)[b'x-parts'].split(b', ')
    assert len(stamps) == len(SHARDS)


def test_servers_that_ended_are_recorded_when_the_caller_leaves():
    harness = gather_harness()
    request = harness.handle()
    harness.advance()
    for shard in SHARDS[:4]:
        harness.pending(shard)[0].end(ENDED)
    request.on_disconnect()
    assert harness.verdict is Verdict.SUSPECT


@pytest.mark.parametrize('policy', list(RepeatPolicy))
def test_single_request_ends_three_servers_at_most(policy):
    harness = Harness(single_route(repeat_policy=policy), replicas=6)
    ended = 0
    for _ in range(6):
        harness.handle(method=b'POST', body=b'x')
        while harness.all_pending():
            ended += harness.end_all()
    assert ended == 3
    assert harness.answers[-1].status == 503
    # What may have run is not said not to have.
    assert harness.answers[0].status == 502


def test_request_of_another_caller_is_not_rejected():
    harness = gather_harness()
    harness.handle()
    for _ in range(3):
        harness.end_all()
    other = make_request(body=b'another')
    harness.gateway.handle(other, harness.answers.append)
    assert len(harness.all_pending()) == len(SHARDS)


def test_relay_reports_servers_that_ended_and_sends_to_no_others():
    harness = RelayHarness()
    harness.run.start()
    for shard in ('s0', 's1', 's2'):
        harness.gateway.pending(shard)[0].end(ENDED)
    assert not any(
        harness.gateway.pending(shard) for shard in ('s0', 's1', 's2')
    )
    report = harness.reports[-1]
    assert report.is_last
    assert set(report.ended) == {'s0', 's1', 's2'}


def test_relay_refuses_a_suspect_query_and_says_why():
    harness = RelayHarness()
    context = harness.gateway.context
    digest = harness.run.digest
    context.deadly.record_end(digest, 5, 0, 0)
    listener = RelayListener(
        ('127.0.0.1', 1), context, lambda at_ms: 0, lambda: True, None
    )
    connection = FakeConnection()
    listener._start(connection, make_relay_request())
    acceptance = connection.sent[0]
    assert isinstance(acceptance, RelayAcceptance)
    assert not acceptance.is_taken
    assert acceptance.suspicion.ends[0].servers == 5
    assert not any(
        harness.gateway.pending(shard) for shard in ('s0', 's1', 's2')
    )


@pytest.mark.parametrize(
    ('is_up', 'outcome'),
    [(True, NoReply.BROKEN), (False, NoReply.SERVER_ENDED)],
)
def test_server_has_ended_if_it_also_refuses_connections(is_up, outcome):
    """A server that only resets a connection has not ended."""
    outcomes = []

    async def scenario():
        loop = asyncio.get_running_loop()
        accepted = []
        server = await loop.create_server(
            lambda: _Recorder(accepted), '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        pool = ServerPool(_record_of(port), HEADER_NAMES, lambda: 4, None, None)
        attempts = [_attempt(outcomes) for _ in range(2)]
        for attempt in attempts:
            pool.submit(attempt)
        while not all(each.sent_ms for each in attempts):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.02)
        if not is_up:
            server.close()
        for transport in tuple(accepted):
            transport.abort()
        async with asyncio.timeout(5):
            while len(outcomes) < 2:
                await asyncio.sleep(0.01)
        server.close()
        pool.retire()

    asyncio.run(scenario())
    assert outcomes == [outcome, outcome]


class _Recorder(asyncio.Protocol):
    def __init__(self, accepted):
        self._accepted = accepted

    def connection_made(self, transport):
        self._accepted.append(transport)


def _attempt(outcomes):
    attempt = Attempt(
        'i-1',
        b'r1',
        lambda left_ms: b'GET / HTTP/1.1\r\n\r\n',
        lambda ended, outcome: outcomes.append(outcome),
    )
    attempt.deadline_ms = now_ms() + 5000
    return attempt


def _record_of(port):
    return ServerRecord(
        server='i-1',
        service='s',
        host='127.0.0.1',
        port=port,
        data_centre='here',
        slots=2,
        state=ServerState.LIVE,
    )
