"""A query over many shards: hedged, complete enough, in time, truthful."""

import itertools
from dataclasses import replace
from random import Random

import pytest

from dandelionstage.gateway.attempt import NoReply
from dandelionstage.gateway.delivery_times import DeliveryTimes
from dandelionstage.gateway.gather_run import GatherRun
from dandelionstage.gateway.request_schedule import (
    AnswerLag,
    NetworkMargins,
    schedule_request,
    slow_threshold_ms,
)
from dandelionstage.gateway.run_context import RouteResponseTimes

from .gateway_harness import (
    GatewayHarness,
    HandPool,
    failed_reply,
    gather_route,
    make_request,
    shed_reply,
    success_reply,
)

SHARDS = tuple('s{0}'.format(number) for number in range(10))


def answer_all(world, shards, body=b''):
    for shard in shards:
        attempt = world.pending(shard)[0]
        attempt.end(success_reply(body, 'stamp-{0}'.format(shard)))


def start(world, **terms):
    return world.start(GatherRun, gather_route(SHARDS, **terms), make_request())


def headers(answer):
    return dict(answer.headers)


def only(found):
    assert len(found) == 1
    return found[0]


def check_parts(answer):
    """No shard twice, and as many as the answer says."""
    stamps = headers(answer)[b'x-parts'].split(b', ')
    shards = {stamp.split(b'-')[0] for stamp in stamps}
    assert len(shards) == len(stamps)
    assert len(stamps) >= 7
    assert len(stamps) + int(headers(answer)[b'x-missing']) == len(SHARDS)


def test_whole_answer_comes_with_the_last_part():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2))
    start(world)
    answer_all(world, SHARDS[:-1])
    assert not world.answers
    answer_all(world, SHARDS[-1:])
    answer = only(world.answers)
    assert answer.status == 200
    assert headers(answer)[b'x-missing'] == b'0'
    assert len(headers(answer)[b'x-parts'].split(b',')) == 10


def test_body_is_the_greatest_records_of_the_parts_named():
    world = GatewayHarness(dict.fromkeys(SHARDS, 1))
    random = Random(3)
    records = [random.randbytes(16) for _ in range(40)]
    start(world)
    for number, shard in enumerate(SHARDS):
        body = b''.join(records[number * 4 : number * 4 + 4])
        world.pending(shard)[0].end(success_reply(body, shard))
    assert world.answers[0].body == b''.join(sorted(records)[:-4:-1])


def test_slow_shard_is_hedged_at_another_server():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2))
    start(world)
    answer_all(world, SHARDS[1:])
    first = only(world.pending('s0'))
    world.timers.advance(60)
    second = next(each for each in world.pending('s0') if each is not first)
    assert second.server != first.server
    second.end(success_reply())
    assert world.answers[0].status == 200
    assert first.ended


def test_hedge_needs_budget():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2), budget=0.0)
    start(world)
    world.timers.advance(80)
    assert len(world.sent('s0')) == 1
    assert world.events('budget_spent') == 10


def test_without_budget_servers_may_take_all_the_callers_time():
    """Load pattern: two servers ten times slow, no extra attempt left."""
    world = GatewayHarness(dict.fromkeys(SHARDS, 1), budget=0.0)
    start(world)
    assert {each.deadline_ms for each in world.pending('s0')} == {1500.0}
    answer_all(world, SHARDS[:8])
    world.timers.advance(400)
    assert not world.answers
    assert world.events('late_retry') == 0
    answer_all(world, SHARDS[8:9])
    assert only(world.answers).status == 200


def test_servers_stop_at_the_target_where_they_can_be_asked_again():
    world = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(world)
    assert only(world.pending('s0')).deadline_ms < 200


def test_overloaded_server_stops_at_the_target_even_without_budget():
    world = GatewayHarness(dict.fromkeys(SHARDS, 1), budget=0.0)
    throttle = world.replicas.of('s0')[0].throttle
    for _ in range(8):
        throttle.send(0.0)
    start(world)
    assert only(world.pending('s0')).deadline_ms < 200
    assert only(world.pending('s1')).deadline_ms == 1500


def test_server_that_cannot_be_reached_gives_way_to_another_for_free():
    """Load pattern: a third of the servers dark, no extra attempt left."""
    world = GatewayHarness({**dict.fromkeys(SHARDS, 1), 's0': 3}, budget=0.0)
    for pool in world.pools.values():
        pool.connects = pool.record.service != 's0'
    start(world)
    first = only(world.pending('s0'))
    for pool in world.pools.values():
        pool.connects = True
    world.timers.advance(80)
    second = only(world.pending('s0'))
    assert second.server != first.server
    assert first.ended
    assert not world.events('hedge')


def test_servers_that_cannot_be_reached_do_not_count_as_tried():
    world = GatewayHarness({**dict.fromkeys(SHARDS, 1), 's0': 3})
    for pool in world.pools.values():
        pool.connects = pool.record.service != 's0'
    start(world)
    for _ in range(2):
        only(world.pending('s0')).end(NoReply.CONNECT_FAILED)
    assert len({each.server for each in world.sent('s0')}) == 3


def test_incomplete_answer_waits_for_the_target_and_says_what_lacks():
    world = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(world)
    answer_all(world, SHARDS[1:])
    world.timers.advance(90)
    assert not world.answers
    world.timers.advance(92)
    answer = only(world.answers)
    assert headers(answer)[b'x-missing'] == b'1'
    assert b'stamp-s0' not in headers(answer)[b'x-parts']


def test_shards_without_a_server_do_not_make_the_caller_wait():
    world = GatewayHarness(dict.fromkeys(SHARDS[1:], 1))
    start(world)
    answer_all(world, SHARDS[1:])
    assert headers(world.answers[0])[b'x-missing'] == b'1'


def test_too_few_parts_are_no_success():
    world = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(world)
    answer_all(world, SHARDS[2:])
    world.timers.advance(1600)
    assert [answer.status for answer in world.answers] == [504]


def test_servers_are_told_to_stop_at_the_target():
    world = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(world)
    left_ms = world.pending('s0')[0].deadline_ms
    assert left_ms == pytest.approx(91)


def test_what_an_answer_lacks_is_asked_again_after_the_target():
    world = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(world)
    answer_all(world, SHARDS[2:])
    for shard in ('s0', 's1'):
        world.timers.advance(90)
        world.pending(shard)[0].end(failed_reply(504))
    world.timers.advance(92)
    late = only(world.pending('s0'))
    assert late.deadline_ms == pytest.approx(1500)
    late.end(success_reply())
    assert [answer.status for answer in world.answers] == [200]


def test_failure_goes_to_another_server_and_not_beyond_the_attempts():
    world = GatewayHarness(dict.fromkeys(SHARDS, 3))
    start(world, attempts=2)
    for _ in range(2):
        world.pending('s0')[0].end(failed_reply())
    answer_all(world, SHARDS[1:])
    assert len({each.server for each in world.sent('s0')}) == 2
    assert headers(world.answers[0])[b'x-missing'] == b'1'


@pytest.mark.parametrize(
    'ending',
    [
        failed_reply(),
        shed_reply(),
        NoReply.BROKEN,
        success_reply(stamp=''),
        shed_reply(421),
    ],
)
def test_no_failure_is_a_part(ending):
    world = GatewayHarness(dict.fromkeys(SHARDS, 1))
    start(world)
    world.pending('s0')[0].end(ending)
    answer_all(world, SHARDS[1:])
    assert headers(world.answers[0])[b'x-missing'] == b'1'


def test_caller_that_leaves_ends_every_attempt_and_no_more_are_made():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2))
    request = make_request()
    world.start(GatherRun, gather_route(SHARDS), request)
    request.on_gone()
    world.timers.advance(1600)
    assert not world.answers
    assert all(len(world.sent(shard)) == 1 for shard in SHARDS)
    assert not any(world.pending(shard) for shard in SHARDS)


def test_answer_is_given_once_whatever_still_comes():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2))
    start(world)
    late = [world.pending(shard)[0] for shard in SHARDS]
    world.timers.advance(60)
    answer_all(world, SHARDS)
    for attempt in late:
        attempt.end(success_reply())
    assert len(world.answers) == 1


@pytest.mark.parametrize('seed', range(40))
def test_any_course_ends_with_one_truthful_answer(seed):
    """Random endings at random times: one answer, no part twice."""
    random = Random(seed)
    world = GatewayHarness(dict.fromkeys(SHARDS, 2), seed=seed)
    start(world, least=0.7)
    endings = (
        lambda server: success_reply(b'x' * 16, server),
        lambda _: failed_reply(),
        lambda _: shed_reply(),
        lambda _: NoReply.BROKEN,
    )
    while world.timers.now_ms < 1600:
        for attempt in itertools.chain(*map(world.pending, SHARDS)):
            if random.randrange(10) == 0:
                attempt.end(random.choice(endings)(attempt.server))
        world.timers.advance(world.timers.now_ms + random.uniform(1, 20))
    answer = only(world.answers)
    assert answer.status in {200, 502, 504}
    if answer.status == 200:
        check_parts(answer)
    servers = [{each.server for each in world.sent(shard)} for shard in SHARDS]
    assert max(map(len, servers)) <= 2


def test_answers_are_planned_earlier_on_a_vm_that_comes_late():
    """Load pattern: a small core that writes each answer 12 ms late."""
    answer_lag = AnswerLag()
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


def test_large_answers_are_planned_earlier_on_a_small_link():
    """Load pattern: signatures of 90 shards take a link 3 ms."""
    delivery_times = DeliveryTimes()
    many = gather_route([str(number) for number in range(90)])
    few = gather_route(SHARDS)
    assert delivery_times.lag_ms(many) > 3
    assert delivery_times.lag_ms(few) < 1
    for _ in range(3):
        delivery_times.observe(many.name, 12.0)
    assert delivery_times.lag_ms(many) == pytest.approx(12)


def test_round_trip_to_the_caller_is_allowed_for():
    route, near, far = gather_route(SHARDS), make_request(), make_request()
    near.round_trip_ms = 1.0
    far.round_trip_ms = 21.0
    before = schedule_request(far, route, None, NetworkMargins()).answer_ms
    assert (
        schedule_request(near, route, None, NetworkMargins()).answer_ms - before
        == 20
    )
    far.is_kept = False
    assert (
        before - schedule_request(far, route, None, NetworkMargins()).answer_ms
        == 21
    )


def test_hedges_wait_for_the_time_that_sending_takes():
    """Load pattern: a small core that takes 30 ms to send a query."""
    world = GatewayHarness(dict.fromkeys(SHARDS, 2))
    slow_sends = iter(range(len(SHARDS)))
    submit = HandPool.submit

    def slowly(pool, attempt):
        world.timers.now_ms = 3.0 * next(slow_sends, 10)
        submit(pool, attempt)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(HandPool, 'submit', slowly)
        start(world)
    world.timers.advance(27 + 40)
    assert not world.events('hedge')
    world.timers.advance(27 + 42)
    assert world.events('hedge') == 10


def test_server_that_becomes_slow_and_usual_again_is_logged_once_each():
    world = GatewayHarness({'s0': 1})
    route = gather_route(['s0'], least=0.1, attempts=1)
    for elapsed_ms in (80, 80, 80, 80, 15, 15, 15, 15, 15, 15):
        begun_ms = world.timers.now_ms
        request = make_request()
        request.arrived_ms = begun_ms
        world.start(GatherRun, route, request)
        world.timers.advance(begun_ms + elapsed_ms)
        only(world.pending('s0')).end(success_reply())
    assert world.events('server_slow') == 1
    assert world.events('server_usual') == 1


def make_times(*elapsed_ms):
    response_times = RouteResponseTimes()
    for each in elapsed_ms:
        response_times.add('q', each)
    return response_times


def test_servers_that_answer_alike_are_not_hedged_before_twice_the_usual():
    """Load pattern: no server pauses, so a hedge would only add load."""
    response_times = make_times(*range(18, 28))
    assert slow_threshold_ms(
        response_times, 'q'
    ) == 2 * response_times.usual_ms('q')


def test_a_tail_far_beyond_the_usual_time_is_hedged_at_its_beginning():
    """Load pattern: a server in five pauses."""
    response_times = make_times(10, 10, 10, 10, 10, 10, 10, 10, 90, 120)
    assert slow_threshold_ms(response_times, 'q') == 120


def test_nothing_is_called_slow_before_enough_answers_are_known():
    assert slow_threshold_ms(make_times(10, 10), 'q') is None


def test_a_pause_of_the_process_starts_no_late_hedge():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2))
    start(world)
    world.timers.now_ms = 3000.0
    world.timers.advance(3000.0)
    assert not world.events('hedge')


def test_an_answer_over_many_shards_is_the_same_when_shared():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2))
    relay = RelayStub(SHARDS[:6])
    world.context = replace(world.context, relays=relay)
    start(world)
    assert not any(world.sent(shard) for shard in SHARDS[:6])
    for shard, attempt in only(relay.asked).attempts.items():
        attempt.sent_ms = 1.0
        attempt.end(success_reply(stamp='stamp-{0}'.format(shard)))
    answer_all(world, SHARDS[6:])
    check_whole(only(world.answers))


def test_shards_that_were_not_relayed_are_asked_without_extra_attempts():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2), budget=0.0)
    relay = RelayStub(SHARDS[:6])
    world.context = replace(world.context, relays=relay)
    start(world)
    for attempt in tuple(only(relay.asked).attempts.values()):
        attempt.end(NoReply.WITHDRAWN)
    answer_all(world, SHARDS)
    check_whole(only(world.answers))
    assert not world.events('retry')


def test_shards_lost_with_a_relay_cost_extra_attempts():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2), budget=0.0)
    relay = RelayStub(SHARDS[:1])
    world.context = replace(world.context, relays=relay)
    start(world)
    for attempt in tuple(only(relay.asked).attempts.values()):
        attempt.sent_ms = 1.0
        attempt.end(NoReply.BROKEN)
    assert not world.sent('s0')
    assert world.events('budget_spent') == 1


def test_a_relay_and_this_vm_keep_to_the_attempts_together():
    """A relay that is silent may have hedged, too."""
    world = GatewayHarness(dict.fromkeys(SHARDS, 4))
    relay = RelayStub(SHARDS)
    world.context = replace(world.context, relays=relay)
    start(world, attempts=3)
    for attempt in only(relay.asked).attempts.values():
        attempt.sent_ms = 1.0
    world.timers.advance(400)
    # What it has sent is not known, so nothing is sent from here.
    assert not any(world.sent(shard) for shard in SHARDS)
    for attempt in tuple(only(relay.asked).attempts.values()):
        attempt.end(NoReply.BROKEN)
    world.timers.advance(1400)
    assert not any(world.sent(shard) for shard in SHARDS)


def test_a_relay_lost_before_it_could_hedge_has_sent_to_one_server():
    world = GatewayHarness(dict.fromkeys(SHARDS, 4))
    relay = RelayStub(SHARDS)
    world.context = replace(world.context, relays=relay)
    start(world, attempts=2)
    world.timers.advance(10)
    for attempt in tuple(only(relay.asked).attempts.values()):
        attempt.sent_ms = 1.0
        attempt.end(NoReply.BROKEN)
    world.timers.advance(1400)
    for shard in SHARDS:
        assert len({each.server for each in world.sent(shard)}) == 1


def test_a_relay_that_told_all_it_tried_leaves_the_rest_to_this_vm():
    """Load pattern: relays so busy that their hedges are still on the way."""
    world = GatewayHarness(dict.fromkeys(SHARDS, 3))
    relay = RelayStub(SHARDS)
    world.context = replace(world.context, relays=relay)
    start(world, attempts=2)
    query = only(relay.asked)
    for shard, attempt in query.attempts.items():
        attempt.sent_ms = 1.0
        query.record_tried(shard, ['{0}-0'.format(shard)], True)
    world.timers.advance(400)
    for name in SHARDS:
        servers = {each.server for each in world.sent(name)}
        assert len({*servers, '{0}-0'.format(name)}) <= 2
    assert sum(len(world.sent(shard)) for shard in SHARDS) >= 9


def test_servers_that_a_relay_tried_are_not_asked_anew():
    world = GatewayHarness(dict.fromkeys(SHARDS, 3))
    relay = RelayStub(SHARDS[:1])
    world.context = replace(world.context, relays=relay)
    start(world, attempts=3)
    query = only(relay.asked)
    query.record_tried('s0', ['s0-0', 's0-1'], False)
    query.attempts['s0'].sent_ms = 1.0
    query.attempts['s0'].end(NoReply.RELAY_EMPTY)
    assert [each.server for each in world.sent('s0')] == ['s0-2']


def test_a_relay_is_told_when_the_query_is_over():
    world = GatewayHarness(dict.fromkeys(SHARDS, 2))
    relay = RelayStub(SHARDS[:1])
    world.context = replace(world.context, relays=relay)
    made = start(world)
    made.cancel()
    assert relay.dropped == relay.asked


def check_whole(answer):
    stamps = headers(answer)[b'x-parts'].decode().split(', ')
    assert stamps == ['stamp-{0}'.format(shard) for shard in SHARDS]
    assert headers(answer)[b'x-missing'] == b'0'


class RelayStub:
    """Takes some shards and answers when the test says so."""

    vm = 'relay'

    def __init__(self, shards):
        self.shards = shards
        self.asked = []
        self.dropped = []

    def divide(self, shards):
        return [(self, self.shards)]

    def ask(self, query):
        self.asked.append(query)

    def drop(self, query):
        self.dropped.append(query)
