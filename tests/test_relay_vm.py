"""Failures of single queries sent to a relay and of the relay itself."""

from dandelionstage.gateway.attempt import Attempt, Reply
from dandelionstage.gateway.request_schedule import RequestSchedule
from dandelionstage.gateway.relays import RelayedQuery
from dandelionstage.relaying.messages import (
    Part,
    PartsReport,
    RelayAcceptance,
    RelayCancel,
    decode,
    encode,
)
from dandelionstage.relaying.relay_vm import RelayContext, RelayVm

from .gateway_harness import GatewayHarness, gather_route, make_request

ANSWER_MS = 40.0
SCHEDULE = RequestSchedule(
    hedge_delay_ms=18.0, answer_ms=ANSWER_MS, end_ms=900.0, deadline_ms=900.0
)


class FakeConnection:
    def __init__(self):
        self.sent = []
        self.closed = []

    def send(self, message):
        self.sent.append(message)

    def close(self, reason):
        self.closed.append(reason)


class RelayHarness:
    """A VM that sends queries to one relay over a fake connection."""

    def __init__(self):
        gateway = GatewayHarness({})
        self.timers = gateway.timers
        self.connection = FakeConnection()
        context = RelayContext(
            gateway.context.now_ms, gateway.context.call_later, gateway.log
        )
        self.relay = RelayVm('10.0.0.2:1', ('10.0.0.2', 1), context)
        self.relay._connection = self.connection
        self.outcomes = {}
        self.waits_ms = {}

    def send_query(self, shard):
        attempt = Attempt(
            '',
            b'r1',
            lambda left_ms: b'',
            lambda ended, outcome: self.outcomes.update({shard: outcome}),
        )
        query = RelayedQuery(
            make_request(),
            gather_route((shard,)),
            SCHEDULE,
            {shard: attempt},
            lambda service, tried, is_all: None,
            lambda services: None,
            self.waits_ms.update,
            lambda end_attempts: end_attempts(),
        )
        self.relay.send_query(query)

    def receive(self, message):
        self.relay._receive(self.connection, message)


def test_busy_relay_loses_only_the_query_that_it_did_not_accept():
    """Load pattern: a query arrives while a slow CPU core handles another."""
    harness = RelayHarness()
    harness.send_query('s1')
    harness.receive(RelayAcceptance(0, is_taken=True))
    harness.timers.advance(5)
    harness.send_query('s2')
    harness.timers.advance(30)
    assert harness.outcomes.keys() == {'s2'}
    assert RelayCancel(1) in harness.connection.sent
    harness.receive(PartsReport(0, [Part('s1', 'stamp', b'')], {}, True, True))
    assert isinstance(harness.outcomes['s1'], Reply)
    harness.timers.advance(500)
    assert not harness.connection.closed


def test_silent_connection_is_closed():
    harness = RelayHarness()
    harness.send_query('s1')
    harness.timers.advance(30)
    assert not harness.connection.closed
    harness.timers.advance(400)
    assert harness.connection.closed == ['silent']


def test_relay_without_a_report_on_tried_servers_has_failed():
    harness = RelayHarness()
    harness.send_query('s1')
    harness.receive(RelayAcceptance(0, is_taken=True))
    harness.timers.advance(ANSWER_MS)
    assert not harness.outcomes
    harness.timers.advance(ANSWER_MS + 60)
    assert harness.outcomes.keys() == {'s1'}


def test_queues_that_a_relay_reports_are_passed_on():
    harness = RelayHarness()
    harness.send_query('s1')
    report = PartsReport(0, [], {}, True, True, waits_ms={'s1': 40})
    harness.receive(decode(encode(report)))
    assert harness.waits_ms == {'s1': 40}
