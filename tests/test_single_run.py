"""Tests of single requests: at-most-once execution and correct refusals."""

from random import Random

import pytest

from dandelionstage.catalog.routes import RepeatPolicy
from dandelionstage.gateway.attempt import NoReply, Reply
from dandelionstage.gateway.single_run import SingleRun

from .gateway_harness import (
    GatewayHarness,
    failed_reply,
    make_request,
    shed_reply,
    single_route,
    success_reply,
)


def start(harness, **route_parameters):
    request = make_request(time_left_ms=6000.0, method=b'POST', body=b'b')
    harness.start(SingleRun, single_route(**route_parameters), request)
    return request


def exactly_one(items):
    assert len(items) == 1
    return items[0]


def test_reply_is_forwarded_unchanged():
    harness = GatewayHarness({'s': 2})
    start(harness)
    harness.pending('s')[0].end(success_reply(b'the body', 'st.2', status=201))
    answer = exactly_one(harness.answers)
    assert (answer.status, answer.body) == (201, b'the body')
    assert dict(answer.headers)[b'x-stamp'] == b'st.2'


def test_once_only_request_is_retried_after_not_run_reply():
    harness = GatewayHarness({'s': 2})
    start(harness)
    harness.pending('s')[0].end(shed_reply())
    harness.pending('s')[0].end(success_reply(b'ok'))
    assert [answer.status for answer in harness.answers] == [200]


@pytest.mark.parametrize(
    'outcome',
    [NoReply.BROKEN, NoReply.BAD_REPLY, failed_reply(500), failed_reply(504)],
)
def test_once_only_request_is_never_repeated_when_it_may_have_run(outcome):
    harness = GatewayHarness({'s': 3})
    start(harness, attempts=3)
    harness.pending('s')[0].end(outcome)
    assert len(harness.submitted('s')) == 1
    assert harness.answers[0].status in {500, 502, 504}


@pytest.mark.parametrize('status', [408, 421, 429, 503])
@pytest.mark.parametrize('stamp', ['', 's.9'])
def test_failure_in_doubt_is_not_told_as_not_run(status, stamp):
    """Regression: a caller was told that an order had not run (REFUSED).

    The server ran it and failed it with 503, without stating that it had not.
    """
    harness = GatewayHarness({'s': 3})
    start(harness, attempts=3)
    reply = Reply(status, ((b'x-stamp', b's.9'),), b'oops', stamp, ran=True)
    harness.pending('s')[0].end(reply)
    assert len(harness.submitted('s')) == 1
    answer = exactly_one(harness.answers)
    assert answer.status == 502
    # Another status must not bear the server's signature.
    assert b'x-stamp' not in dict(answer.headers)


UNSIGNED = Reply(200, (), b'body', '', ran=True)
ENCODED = Reply(
    200,
    ((b'x-stamp', b's.9'), (b'content-encoding', b'gzip')),
    b'body',
    's.9',
    ran=True,
    is_encoded=True,
)


@pytest.mark.parametrize('spoiled', [UNSIGNED, ENCODED])
def test_spoiled_success_is_not_told_as_a_success(spoiled):
    """Regression: a reply whose signature was spoiled was forwarded (MIXED)."""
    harness = GatewayHarness({'s': 3})
    start(harness, attempts=3)
    harness.pending('s')[0].end(spoiled)
    assert len(harness.submitted('s')) == 1
    assert [answer.status for answer in harness.answers] == [502]
    assert harness.answers[0].body != spoiled.body


@pytest.mark.parametrize('spoiled', [UNSIGNED, ENCODED])
def test_spoiled_success_of_an_idempotent_request_is_repeated(spoiled):
    harness = GatewayHarness({'s': 3})
    start(harness, attempts=2, repeat_policy=RepeatPolicy.IDEMPOTENT)
    harness.pending('s')[0].end(spoiled)
    harness.pending('s')[0].end(success_reply(b'whole'))
    answer = exactly_one(harness.answers)
    assert (answer.status, answer.body) == (200, b'whole')


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_failure_in_doubt_of_an_idempotent_request_is_repeated(status):
    harness = GatewayHarness({'s': 3})
    start(harness, attempts=2, repeat_policy=RepeatPolicy.IDEMPOTENT)
    harness.pending('s')[0].end(failed_reply(status))
    harness.pending('s')[0].end(failed_reply(status))
    assert [answer.status for answer in harness.answers] == [502]


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_not_run_after_a_failure_in_doubt_is_still_in_doubt(status):
    harness = GatewayHarness({'s': 3})
    start(harness, attempts=3, repeat_policy=RepeatPolicy.IDEMPOTENT)
    harness.pending('s')[0].end(failed_reply(status))
    harness.pending('s')[0].end(shed_reply())
    harness.pending('s')[0].end(shed_reply())
    assert [answer.status for answer in harness.answers] == [502]


def test_once_only_request_is_never_hedged():
    harness = GatewayHarness({'s': 3})
    start(harness)
    harness.timers.advance(5900)
    assert len(harness.submitted('s')) == 1


def test_slow_server_is_avoided_before_its_request_ends():
    """Guards against more requests to a slow server until its first one ends.

    Seen in an incident with a server that was ten times slower.
    """
    harness = GatewayHarness({'s': 2})
    start(harness)
    slow = harness.pending('s')[0].server
    harness.timers.advance(500)
    chosen = harness.replicas.choose('s', harness.timers.now_ms)
    assert chosen.record.server != slow
    assert harness.replicas.replica(slow).slowness.ratio(500) > 2
    assert len(harness.submitted('s')) == 1


def test_slowness_estimate_lasts_while_a_request_is_pending():
    harness = GatewayHarness({'s': 2})
    start(harness)
    slowness = harness.replicas.replica(harness.pending('s')[0].server).slowness
    for until_ms in (400, 800, 1600, 3200):
        harness.timers.advance(until_ms)
        assert slowness.ratio(until_ms) > 5
    harness.timers.advance(6000)
    assert [answer.status for answer in harness.answers] == [504]


def test_missing_reply_is_reported_at_the_timeout():
    """Guards against a refusal (503), which states that nothing has run."""
    harness = GatewayHarness({'s': 2})
    start(harness, timeout_ms=1000)
    harness.timers.advance(999)
    assert [answer.status for answer in harness.answers] == [504]


def test_unsent_request_is_refused_with_retry_after():
    harness = GatewayHarness({})
    start(harness)
    answer = exactly_one(harness.answers)
    assert answer.status == 503
    retry_after_s = float(dict(answer.headers)[b'retry-after'])
    assert retry_after_s == pytest.approx(0.625, abs=0.375)


def test_refusal_by_all_servers_is_answered_immediately():
    harness = GatewayHarness({'s': 2})
    start(harness)
    for _ in range(2):
        harness.pending('s')[0].end(shed_reply())
    answer = exactly_one(harness.answers)
    assert answer.status == 503
    assert b'retry-after' in dict(answer.headers)


def test_idempotent_request_is_repeated_after_a_failure():
    harness = GatewayHarness({'s': 2})
    start(harness, repeat_policy=RepeatPolicy.IDEMPOTENT)
    harness.pending('s')[0].end(NoReply.BROKEN)
    harness.pending('s')[0].end(success_reply(b'ok'))
    assert harness.answers[0].body == b'ok'


def test_idempotent_request_is_hedged_once():
    harness = GatewayHarness({'s': 3})
    start(harness, repeat_policy=RepeatPolicy.IDEMPOTENT)
    harness.timers.advance(5000)
    assert len(harness.submitted('s')) == 2


def test_server_replaced_at_its_address_is_dropped():
    harness = GatewayHarness({'s': 2})
    start(harness)
    first = harness.pending('s')[0]
    first.end(shed_reply(421))
    assert harness.replicas.replica(first.server) is None
    assert harness.pools[first.server].is_retired
    harness.pending('s')[0].end(success_reply())
    assert harness.answers[0].status == 200


def test_disconnect_does_not_abort_a_once_only_request():
    harness = GatewayHarness({'s': 2})
    request = start(harness)
    request.on_disconnect()
    assert harness.pending('s')
    assert not harness.answers


@pytest.mark.parametrize('seed', range(60))
def test_random_outcomes_run_at_most_once_and_refuse_correctly(seed):
    random = Random(seed)
    harness = GatewayHarness({'s': 4}, seed=seed)
    start(harness, attempts=3, timeout_ms=2000)
    may_have_run = 0
    while harness.timers.now_ms < 2100:
        for attempt in harness.pending('s'):
            if random.randrange(7) == 0:
                outcome = random.choice(
                    (
                        success_reply(),
                        failed_reply(),
                        failed_reply(503),
                        failed_reply(429),
                        shed_reply(),
                        shed_reply(421),
                        NoReply.BROKEN,
                    ),
                )
                may_have_run += outcome == NoReply.BROKEN or getattr(
                    outcome, 'ran', False
                )
                attempt.end(outcome)
        harness.timers.advance(harness.timers.now_ms + random.uniform(1, 50))
    has_attempts = len(harness.submitted('s')) and harness.pools
    is_aborted = any(pool.abandoned for pool in harness.pools.values())
    answer = exactly_one(harness.answers)
    assert may_have_run + is_aborted <= 1
    if answer.status in {408, 421, 429, 503}:
        assert not may_have_run
        assert not is_aborted
    assert has_attempts
