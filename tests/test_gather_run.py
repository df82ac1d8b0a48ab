"""Tests of scatter-gather queries: hedges, coverage, timing and relays."""

import itertools
from dataclasses import replace
from random import Random

import pytest

from dandelionstage.gateway.attempt import NoReply
from dandelionstage.gateway.delivery_times import DeliveryTimes
from dandelionstage.gateway.gather_run import GatherRun
from dandelionstage.gateway.request_schedule import (
    LagEstimate,
    NetworkMargins,
    schedule_request,
    slow_threshold_ms,
)
from dandelionstage.gateway.run_context import RouteResponseTimes
from dandelionstage.placing.query_admission import expected_wait_ms

from .gateway_harness import (
    FakePool,
    GatewayHarness,
    failed_reply,
    gather_route,
    make_request,
    shed_reply,
    success_reply,
)

SHARDS = tuple('s{0}'.format(number) for number in range(10))


def reply_from_shards(harness, shards, body=b''):
    for shard in shards:
        attempt = harness.pending(shard)[0]
        attempt.end(success_reply(body, 'stamp-{0}'.format(shard)))


def start(harness, **route_parameters):
    return harness.start(
        GatherRun, gather_route(SHARDS, **route_parameters), make_request()
    )


def headers(answer):
    return dict(answer.headers)


def exactly_one(items):
    assert len(items) == 1
    return items[0]


def assert_parts_consistent(answer):
    """Check that no shard occurs twice and that the missing count is right."""
    stamps = headers(answer)[b'x-parts'].split(b', ')
    shards = {stamp.split(b'-')[0] for stamp in stamps}
    assert len(shards) == len(stamps)
    assert len(stamps) >= 7
    assert len(stamps) + int(headers(answer)[b'x-missing']) == len(SHARDS)


def test_complete_answer_is_sent_on_the_last_shard_reply():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    start(harness)
    reply_from_shards(harness, SHARDS[:-1])
    assert not harness.answers
    reply_from_shards(harness, SHARDS[-1:])
    answer = exactly_one(harness.answers)
    assert answer.status == 200
    assert headers(answer)[b'x-missing'] == b'0'
    assert len(headers(answer)[b'x-parts'].split(b',')) == 10


def test_body_holds_the_greatest_records_of_all_shards():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1))
    random = Random(3)
    records = [random.randbytes(16) for _ in range(40)]
    start(harness)
    for number, shard in enumerate(SHARDS):
        body = b''.join(records[number * 4 : number * 4 + 4])
        harness.pending(shard)[0].end(success_reply(body, shard))
    assert harness.answers[0].body == b''.join(sorted(records)[:-4:-1])


def test_slow_shard_is_hedged_at_another_server():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    start(harness)
    reply_from_shards(harness, SHARDS[1:])
    first = exactly_one(harness.pending('s0'))
    harness.timers.advance(60)
    second = next(each for each in harness.pending('s0') if each is not first)
    assert second.server != first.server
    second.end(success_reply())
    assert harness.answers[0].status == 200
    assert first.ended


def test_no_hedge_without_budget():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2), budget=0.0)
    start(harness)
    harness.timers.advance(80)
    assert len(harness.submitted('s0')) == 1
    assert harness.events('budget_spent') == 10


def test_servers_get_the_full_deadline_without_budget():
    """Guards against stopping servers that cannot be queried again.

    Occurs with two servers ten times slower and no extra attempt left.
    """
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1), budget=0.0)
    start(harness)
    assert {each.deadline_ms for each in harness.pending('s0')} == {1500.0}
    reply_from_shards(harness, SHARDS[:8])
    harness.timers.advance(400)
    assert not harness.answers
    assert harness.events('late_retry') == 0
    reply_from_shards(harness, SHARDS[8:9])
    assert exactly_one(harness.answers).status == 200


def test_server_deadline_is_the_target_while_budget_is_left():
    """A shard can then be queried again after the target."""
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(harness)
    assert exactly_one(harness.pending('s0')).deadline_ms < 200


def test_overloaded_server_gets_the_target_as_deadline_without_budget():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1), budget=0.0)
    throttle = harness.replicas.for_service('s0')[0].throttle
    for _ in range(8):
        throttle.record_sent(0.0)
    start(harness)
    assert exactly_one(harness.pending('s0')).deadline_ms < 200
    assert exactly_one(harness.pending('s1')).deadline_ms == 1500


def test_unreachable_server_is_replaced_without_using_budget():
    """Guards against leaving out a shard for one unreachable server.

    Occurs with a third of the servers unreachable and no budget left.
    """
    harness = GatewayHarness({**dict.fromkeys(SHARDS, 1), 's0': 3}, budget=0.0)
    for pool in harness.pools.values():
        pool.is_reachable = pool.record.service != 's0'
    start(harness)
    first = exactly_one(harness.pending('s0'))
    for pool in harness.pools.values():
        pool.is_reachable = True
    harness.timers.advance(80)
    second = exactly_one(harness.pending('s0'))
    assert second.server != first.server
    assert first.ended
    assert not harness.events('hedge')


def test_unreachable_servers_do_not_count_as_tried():
    harness = GatewayHarness({**dict.fromkeys(SHARDS, 1), 's0': 3})
    for pool in harness.pools.values():
        pool.is_reachable = pool.record.service != 's0'
    start(harness)
    for _ in range(2):
        exactly_one(harness.pending('s0')).end(NoReply.CONNECT_FAILED)
    assert len({each.server for each in harness.submitted('s0')}) == 3


def test_incomplete_answer_is_sent_at_the_target_with_missing_count():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(harness)
    reply_from_shards(harness, SHARDS[1:])
    harness.timers.advance(90)
    assert not harness.answers
    harness.timers.advance(92)
    answer = exactly_one(harness.answers)
    assert headers(answer)[b'x-missing'] == b'1'
    assert b'stamp-s0' not in headers(answer)[b'x-parts']


def test_shards_without_a_server_do_not_delay_the_answer():
    harness = GatewayHarness(dict.fromkeys(SHARDS[1:], 1))
    start(harness)
    reply_from_shards(harness, SHARDS[1:])
    assert headers(harness.answers[0])[b'x-missing'] == b'1'


def test_too_few_shard_replies_time_out():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(harness)
    reply_from_shards(harness, SHARDS[2:])
    harness.timers.advance(1600)
    assert [answer.status for answer in harness.answers] == [504]


def test_server_deadline_is_the_planned_answer_time():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(harness)
    deadline_ms = harness.pending('s0')[0].deadline_ms
    assert deadline_ms == pytest.approx(91)


def test_needed_shards_are_queried_again_after_the_target():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(harness)
    reply_from_shards(harness, SHARDS[2:])
    for shard in ('s0', 's1'):
        harness.timers.advance(90)
        harness.pending(shard)[0].end(failed_reply(504))
    harness.timers.advance(92)
    repeated = exactly_one(harness.pending('s0'))
    assert repeated.deadline_ms == pytest.approx(1500)
    repeated.end(success_reply())
    assert [answer.status for answer in harness.answers] == [200]


def test_failure_is_retried_within_the_attempts_of_the_route():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 3))
    start(harness, attempts=2)
    for _ in range(2):
        harness.pending('s0')[0].end(failed_reply())
    reply_from_shards(harness, SHARDS[1:])
    assert len({each.server for each in harness.submitted('s0')}) == 2
    assert headers(harness.answers[0])[b'x-missing'] == b'1'


@pytest.mark.parametrize(
    'outcome',
    [
        failed_reply(),
        shed_reply(),
        NoReply.BROKEN,
        success_reply(stamp=''),
        shed_reply(421),
    ],
)
def test_failed_or_unsigned_replies_are_not_counted(outcome):
    harness = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(harness)
    harness.pending('s0')[0].end(outcome)
    reply_from_shards(harness, SHARDS[1:])
    assert headers(harness.answers[0])[b'x-missing'] == b'1'


def test_disconnect_of_the_caller_ends_all_attempts():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    request = make_request()
    harness.start(GatherRun, gather_route(SHARDS), request)
    request.on_disconnect()
    harness.timers.advance(1600)
    assert not harness.answers
    assert all(len(harness.submitted(shard)) == 1 for shard in SHARDS)
    assert not any(harness.pending(shard) for shard in SHARDS)


def test_later_replies_do_not_cause_a_second_answer():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    start(harness)
    first_attempts = [harness.pending(shard)[0] for shard in SHARDS]
    harness.timers.advance(60)
    reply_from_shards(harness, SHARDS)
    for attempt in first_attempts:
        attempt.end(success_reply())
    assert len(harness.answers) == 1


@pytest.mark.parametrize('seed', range(40))
def test_random_outcomes_give_exactly_one_correct_answer(seed):
    """Random outcomes at random times: one answer, no shard counted twice."""
    random = Random(seed)
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2), seed=seed)
    start(harness, least_coverage=0.7)
    outcomes = (
        lambda server: success_reply(b'x' * 16, server),
        lambda _: failed_reply(),
        lambda _: shed_reply(),
        lambda _: NoReply.BROKEN,
    )
    while harness.timers.now_ms < 1600:
        for attempt in itertools.chain(*map(harness.pending, SHARDS)):
            if random.randrange(10) == 0:
                attempt.end(random.choice(outcomes)(attempt.server))
        harness.timers.advance(harness.timers.now_ms + random.uniform(1, 20))
    answer = exactly_one(harness.answers)
    assert answer.status in {200, 502, 504}
    if answer.status == 200:
        assert_parts_consistent(answer)
    servers = [
        {each.server for each in harness.submitted(shard)} for shard in SHARDS
    ]
    assert max(map(len, servers)) <= 2


def test_answer_lag_moves_the_planned_answer_earlier():
    """Guards against late answers if a slow core writes each 12 ms late."""
    answer_lag = LagEstimate()
    route, request = gather_route(SHARDS), make_request()
    before = schedule_request(
        request, route, None, NetworkMargins(), answer_lag.lag_ms
    )
    for _ in range(20):
        answer_lag.observe(12)
    after = schedule_request(
        request, route, None, NetworkMargins(), answer_lag.lag_ms
    )
    assert before.answer_ms - after.answer_ms == pytest.approx(12, abs=0.1)
    assert after.end_ms == before.end_ms
    for _ in range(500):
        answer_lag.observe(0)
    assert answer_lag.lag_ms < 1


def test_delivery_time_grows_with_the_number_of_shards():
    """Guards against answers that are late because of their size.

    The signatures of 90 shards take 3 ms on a slow link.
    """
    delivery_times = DeliveryTimes()
    many = gather_route([str(number) for number in range(90)])
    few = gather_route(SHARDS)
    assert delivery_times.lag_ms(many) > 3
    assert delivery_times.lag_ms(few) < 1
    for _ in range(3):
        delivery_times.observe(many.name, 12.0)
    assert delivery_times.lag_ms(many) == pytest.approx(12)


def test_round_trip_time_moves_the_planned_answer_earlier():
    route, near, far = gather_route(SHARDS), make_request(), make_request()
    near.round_trip_ms = 1.0
    far.round_trip_ms = 21.0
    before = schedule_request(far, route, None, NetworkMargins()).answer_ms
    assert (
        schedule_request(near, route, None, NetworkMargins()).answer_ms - before
        == 20
    )
    far.is_connection_reused = False
    assert (
        before - schedule_request(far, route, None, NetworkMargins()).answer_ms
        == 21
    )


def test_hedge_delay_starts_after_all_attempts_are_sent():
    """Guards against hedges for servers that had no time to reply.

    Occurs if a slow core takes 30 ms to send a query.
    """
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    send_numbers = iter(range(len(SHARDS)))
    submit = FakePool.submit

    def submit_slowly(pool, attempt):
        harness.timers.now_ms = 3.0 * next(send_numbers, 10)
        submit(pool, attempt)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(FakePool, 'submit', submit_slowly)
        start(harness)
    harness.timers.advance(27 + 40)
    assert not harness.events('hedge')
    harness.timers.advance(27 + 42)
    assert harness.events('hedge') == 10


def test_slow_and_recovered_server_is_logged_once_each():
    harness = GatewayHarness({'s0': 1})
    route = gather_route(['s0'], least_coverage=0.1, attempts=1)
    for elapsed_ms in (80, 80, 80, 80, 15, 15, 15, 15, 15, 15):
        start_ms = harness.timers.now_ms
        request = make_request()
        request.arrived_ms = start_ms
        harness.start(GatherRun, route, request)
        harness.timers.advance(start_ms + elapsed_ms)
        exactly_one(harness.pending('s0')).end(success_reply())
    assert harness.events('server_slow') == 1
    assert harness.events('server_usual') == 1


def make_response_times(*elapsed_ms):
    response_times = RouteResponseTimes()
    for each in elapsed_ms:
        response_times.add('q', each)
    return response_times


def test_hedge_threshold_is_at_least_twice_the_median():
    """Guards against hedges that only add load, as no server pauses."""
    response_times = make_response_times(*range(18, 28))
    assert slow_threshold_ms(
        response_times, 'q'
    ) == 2 * response_times.median_ms('q')


def test_hedge_threshold_is_the_quantile_of_a_long_tail():
    """Guards against hedges before the long tail; one server in 5 pauses."""
    response_times = make_response_times(
        10, 10, 10, 10, 10, 10, 10, 10, 90, 120
    )
    assert slow_threshold_ms(response_times, 'q') == 120


def test_no_slow_threshold_with_too_few_samples():
    assert slow_threshold_ms(make_response_times(10, 10), 'q') is None


def test_no_hedge_after_a_pause_of_the_process():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    start(harness)
    harness.timers.now_ms = 3000.0
    harness.timers.advance(3000.0)
    assert not harness.events('hedge')


def test_answer_with_a_relay_is_complete_and_in_order():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    relay = RelayStub(SHARDS[:6])
    harness.context = replace(harness.context, relays=relay)
    start(harness)
    assert not any(harness.submitted(shard) for shard in SHARDS[:6])
    for shard, attempt in exactly_one(relay.sent).attempts.items():
        attempt.sent_ms = 1.0
        attempt.end(success_reply(stamp='stamp-{0}'.format(shard)))
    reply_from_shards(harness, SHARDS[6:])
    assert_complete(exactly_one(harness.answers))


def test_shards_refused_by_a_relay_are_queried_without_budget():
    """A relay that refuses has sent nothing, so no attempt is extra."""
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2), budget=0.0)
    relay = RelayStub(SHARDS[:6])
    harness.context = replace(harness.context, relays=relay)
    start(harness)
    for attempt in tuple(exactly_one(relay.sent).attempts.values()):
        attempt.end(NoReply.WITHDRAWN)
    reply_from_shards(harness, SHARDS)
    assert_complete(exactly_one(harness.answers))
    assert not harness.events('retry')


def test_shards_lost_with_a_relay_are_retried_only_with_budget():
    """A lost relay may have sent to a server, so an attempt is extra."""
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2), budget=0.0)
    relay = RelayStub(SHARDS[:1])
    harness.context = replace(harness.context, relays=relay)
    start(harness)
    for attempt in tuple(exactly_one(relay.sent).attempts.values()):
        attempt.sent_ms = 1.0
        attempt.end(NoReply.BROKEN)
    assert not harness.submitted('s0')
    assert harness.events('budget_spent') == 1


def test_queues_that_only_a_relay_sees_are_known_here():
    """Load: a split query waits at servers that this VM never asks itself."""
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    relay = RelayStub(SHARDS)
    harness.context = replace(harness.context, relays=relay)
    start(harness)
    gather = gather_route(SHARDS).gather
    for wait_ms, at_most_ms in ((200, 200), (1e9, 5000)):
        exactly_one(relay.sent).record_waits(dict.fromkeys(SHARDS, wait_ms))
        now_ms = harness.timers.now_ms
        expected = expected_wait_ms(gather, harness.replicas, now_ms)
        assert 0.3 * wait_ms <= expected or wait_ms > at_most_ms
        assert expected <= at_most_ms


def test_relay_and_this_vm_share_the_attempt_limit():
    """A relay that reports nothing may have hedged, which uses attempts."""
    harness = GatewayHarness(dict.fromkeys(SHARDS, 4))
    relay = RelayStub(SHARDS)
    harness.context = replace(harness.context, relays=relay)
    start(harness, attempts=3)
    for attempt in exactly_one(relay.sent).attempts.values():
        attempt.sent_ms = 1.0
    harness.timers.advance(400)
    # It is unknown what the relay has sent, so this VM sends nothing.
    assert not any(harness.submitted(shard) for shard in SHARDS)
    for attempt in tuple(exactly_one(relay.sent).attempts.values()):
        attempt.end(NoReply.BROKEN)
    harness.timers.advance(1400)
    assert not any(harness.submitted(shard) for shard in SHARDS)


def test_relay_lost_before_its_hedge_counts_as_one_attempt():
    """Guards against leaving out shards that have an attempt left."""
    harness = GatewayHarness(dict.fromkeys(SHARDS, 4))
    relay = RelayStub(SHARDS)
    harness.context = replace(harness.context, relays=relay)
    start(harness, attempts=2)
    harness.timers.advance(10)
    for attempt in tuple(exactly_one(relay.sent).attempts.values()):
        attempt.sent_ms = 1.0
        attempt.end(NoReply.BROKEN)
    harness.timers.advance(1400)
    for shard in SHARDS:
        assert len({each.server for each in harness.submitted(shard)}) == 1


def test_this_vm_uses_the_attempts_left_by_a_reporting_relay():
    """Guards against unused attempts of a relay that sends no more.

    Occurs if relays are so busy that their hedges are still in transit.
    """
    harness = GatewayHarness(dict.fromkeys(SHARDS, 3))
    relay = RelayStub(SHARDS)
    harness.context = replace(harness.context, relays=relay)
    start(harness, attempts=2)
    query = exactly_one(relay.sent)
    for shard, attempt in query.attempts.items():
        attempt.sent_ms = 1.0
        query.record_tried(shard, ['{0}-0'.format(shard)], True)
    harness.timers.advance(400)
    for name in SHARDS:
        servers = {each.server for each in harness.submitted(name)}
        assert len({*servers, '{0}-0'.format(name)}) <= 2
    assert sum(len(harness.submitted(shard)) for shard in SHARDS) >= 9


def test_servers_tried_by_a_relay_are_not_queried_again():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 3))
    relay = RelayStub(SHARDS[:1])
    harness.context = replace(harness.context, relays=relay)
    start(harness, attempts=3)
    query = exactly_one(relay.sent)
    query.record_tried('s0', ['s0-0', 's0-1'], False)
    query.attempts['s0'].sent_ms = 1.0
    query.attempts['s0'].end(NoReply.RELAY_EMPTY)
    assert [each.server for each in harness.submitted('s0')] == ['s0-2']


def test_cancelled_query_is_dropped_at_the_relay():
    harness = GatewayHarness(dict.fromkeys(SHARDS, 2))
    relay = RelayStub(SHARDS[:1])
    harness.context = replace(harness.context, relays=relay)
    run = start(harness)
    run.cancel()
    assert relay.cancelled == relay.sent


def assert_complete(answer):
    stamps = headers(answer)[b'x-parts'].decode().split(', ')
    assert stamps == ['stamp-{0}'.format(shard) for shard in SHARDS]
    assert headers(answer)[b'x-missing'] == b'0'


class RelayStub:
    """Relay that takes a fixed set of shards for the test to answer."""

    vm = 'relay'

    def __init__(self, shards):
        self.shards = shards
        self.sent = []
        self.cancelled = []

    def assign_shards(self, shards):
        return [(self, self.shards)]

    def send_query(self, query):
        self.sent.append(query)

    def cancel_query(self, query):
        self.cancelled.append(query)
