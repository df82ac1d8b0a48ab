"""Requests for one server: at most once, and refusals that are true."""

from random import Random

import pytest

from dandelionstage.catalog.routes import Work
from dandelionstage.gateway.attempt import NoReply
from dandelionstage.gateway.single_run import SingleRun

from .gateway_harness import (
    GatewayHarness,
    failed_reply,
    success_reply,
    make_request,
    shed_reply,
    single_route,
)


def start(world, **terms):
    request = make_request(time_left_ms=6000.0, method=b'POST', body=b'b')
    world.start(SingleRun, single_route(**terms), request)
    return request


def only(found):
    assert len(found) == 1
    return found[0]


def test_reply_is_passed_back_unchanged():
    world = GatewayHarness({'s': 2})
    start(world)
    world.pending('s')[0].end(success_reply(b'the body', 'st.2', status=201))
    answer = only(world.answers)
    assert (answer.status, answer.body) == (201, b'the body')
    assert dict(answer.headers)[b'x-stamp'] == b'st.2'


def test_once_only_request_goes_on_after_a_reply_that_says_not_run():
    world = GatewayHarness({'s': 2})
    start(world)
    world.pending('s')[0].end(shed_reply())
    world.pending('s')[0].end(success_reply(b'ok'))
    assert [answer.status for answer in world.answers] == [200]


@pytest.mark.parametrize(
    'ending',
    [NoReply.BROKEN, NoReply.BAD_REPLY, failed_reply(500), failed_reply(503)],
)
def test_once_only_request_is_never_repeated_when_it_may_have_run(ending):
    world = GatewayHarness({'s': 3})
    start(world, attempts=3)
    world.pending('s')[0].end(ending)
    assert len(world.sent('s')) == 1
    assert world.answers[0].status in {500, 502, 503}
    if world.answers[0].status == 503:
        # The server's own failure, with its signature.
        assert world.answers[0].body == b'oops'


def test_once_only_request_is_never_hedged():
    world = GatewayHarness({'s': 3})
    start(world)
    world.timers.advance(5900)
    assert len(world.sent('s')) == 1


def test_slow_server_is_known_before_its_order_is_done():
    """Incident of erbovna: orders went on to a server ten times slow."""
    world = GatewayHarness({'s': 2})
    start(world)
    slow = world.pending('s')[0].server
    world.timers.advance(500)
    chosen = world.replicas.choose('s', world.timers.now_ms)
    assert chosen.record.server != slow
    assert world.replicas.replica(slow).slowness.ratio(500) > 2
    assert len(world.sent('s')) == 1


def test_order_that_stays_out_is_not_forgotten_while_it_lasts():
    world = GatewayHarness({'s': 2})
    start(world)
    slow = world.replicas.replica(world.pending('s')[0].server).slowness
    for until_ms in (400, 800, 1600, 3200):
        world.timers.advance(until_ms)
        assert slow.ratio(until_ms) > 5
    world.timers.advance(6000)
    assert [answer.status for answer in world.answers] == [504]


def test_no_answer_in_time_is_no_promise():
    world = GatewayHarness({'s': 2})
    start(world, timeout_ms=1000)
    world.timers.advance(999)
    assert [answer.status for answer in world.answers] == [504]


def test_request_that_was_never_sent_is_refused_with_a_time_to_come_back():
    world = GatewayHarness({})
    start(world)
    answer = only(world.answers)
    assert answer.status == 503
    again_s = float(dict(answer.headers)[b'retry-after'])
    assert again_s == pytest.approx(0.625, abs=0.375)


def test_refusal_by_all_servers_is_true_and_at_once():
    world = GatewayHarness({'s': 2})
    start(world)
    for _ in range(2):
        world.pending('s')[0].end(shed_reply())
    answer = only(world.answers)
    assert answer.status == 503
    assert b'retry-after' in dict(answer.headers)


def test_idempotent_request_is_repeated_after_a_failure():
    world = GatewayHarness({'s': 2})
    start(world, work=Work.IDEMPOTENT)
    world.pending('s')[0].end(NoReply.BROKEN)
    world.pending('s')[0].end(success_reply(b'ok'))
    assert world.answers[0].body == b'ok'


def test_idempotent_request_is_hedged_once():
    world = GatewayHarness({'s': 3})
    start(world, work=Work.IDEMPOTENT)
    world.timers.advance(5000)
    assert len(world.sent('s')) == 2


def test_other_server_at_the_address_is_no_longer_used():
    world = GatewayHarness({'s': 2})
    start(world)
    first = world.pending('s')[0]
    first.end(shed_reply(421))
    assert world.replicas.replica(first.server) is None
    assert world.pools[first.server].is_retired
    world.pending('s')[0].end(success_reply())
    assert world.answers[0].status == 200


def test_caller_that_leaves_does_not_cut_what_must_run_once():
    world = GatewayHarness({'s': 2})
    request = start(world)
    request.on_gone()
    assert world.pending('s')
    assert not world.answers


@pytest.mark.parametrize('seed', range(60))
def test_at_most_once_and_true_refusals_in_any_course(seed):
    random = Random(seed)
    world = GatewayHarness({'s': 4}, seed=seed)
    start(world, attempts=3, timeout_ms=2000)
    may_have_run = 0
    while world.timers.now_ms < 2100:
        for attempt in world.pending('s'):
            if random.randrange(7) == 0:
                ending = random.choice(
                    (
                        success_reply(),
                        failed_reply(),
                        shed_reply(),
                        shed_reply(421),
                        NoReply.BROKEN,
                    ),
                )
                may_have_run += ending == NoReply.BROKEN or getattr(
                    ending, 'ran', False
                )
                attempt.end(ending)
        world.timers.advance(world.timers.now_ms + random.uniform(1, 50))
    unfinished = len(world.sent('s')) and world.pools
    cut = any(pool.abandoned for pool in world.pools.values())
    answer = only(world.answers)
    assert may_have_run + cut <= 1
    if answer.status == 503 and not answer.body.startswith(b'oops'):
        assert not may_have_run
        assert not cut
    assert unfinished
