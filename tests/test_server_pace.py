"""The pace of servers that differ, slow down early and change."""

import math
from random import Random

import pytest

from dandelionstage.catalog.catalog import Catalog
from dandelionstage.catalog.leaving_servers import LeavingServers
from dandelionstage.catalog.routes import CallerLimits, RouteTable
from dandelionstage.catalog.servers import ServerRecord, ServerState
from dandelionstage.gateway.server_use import ServerStatements, ServerUse
from dandelionstage.operations.events import EventLog
from dandelionstage.placing.quiet_servers import QuietServers
from dandelionstage.placing.replicas import Replicas
from dandelionstage.placing.server_limits import ServerLimits
from dandelionstage.placing.server_pace import ServerPace
from dandelionstage.placing.warm_up import ColdTolerance
from dandelionstage.platform.entry_parser import EntryParser

from .gateway_harness import FakePool, ManualTimers, gather_route

#: Requests differ in work as those of the users do.
SPREAD = 0.35


def answer_all(pace, speed, *, count=100, seed=1, start_ms=0):
    """Let a server answer five requests a second."""
    random = Random(seed)
    for number in range(count):
        ratio = speed * math.exp(random.gauss(0, SPREAD))
        pace.observe(ratio, 1, start_ms + 200 * number)
    return start_ms + 200 * count


@pytest.mark.parametrize('speed', [0.8, 1.0, 1.3, 2.5])
@pytest.mark.parametrize('seed', range(5))
def test_lasting_difference_of_a_server_is_found(speed, seed):
    pace = ServerPace(2)
    end_ms = answer_all(pace, speed, seed=seed)
    assert pace.expected(1, end_ms) == pytest.approx(speed, rel=0.3)


def test_change_is_followed_within_seconds():
    pace = ServerPace(2)
    changed_ms = answer_all(pace, 1)
    end_ms = answer_all(pace, 2.5, count=25, start_ms=changed_ms)
    assert pace.expected(1, end_ms) == pytest.approx(2.5, rel=0.3)


def test_one_long_request_does_not_move_the_choice():
    """Load: one request in a hundred has five times the work."""
    pace = ServerPace(2)
    end_ms = answer_all(pace, 1)
    before = pace.expected(1, end_ms)
    pace.observe(5, 1, end_ms)
    assert pace.expected(1, end_ms) < 1.2 * before


def test_server_that_slows_down_before_it_is_full_is_found():
    """It halves when 70% of its slots are taken."""
    early, late = ServerPace(4), ServerPace(4)
    for number in range(60):
        at_ms = number * 200
        for at_work in (1, 3):
            early.observe(2 if at_work == 3 else 1, at_work, at_ms)
            late.observe(1, at_work, at_ms)
    assert early.expected(3, at_ms) == pytest.approx(2, rel=0.2)
    assert late.expected(3, at_ms) == pytest.approx(1, rel=0.2)
    # Beyond its slots, requests wait for each other at any server.
    assert late.expected(8, at_ms) == pytest.approx(2, rel=0.2)


def test_what_was_learned_is_forgotten():
    pace = ServerPace(2)
    end_ms = answer_all(pace, 2.5)
    assert pace.expected(1, end_ms + 60_000) == pytest.approx(1, abs=0.05)


def make_replicas(*, is_learned=True):
    timers = ManualTimers()
    replicas = Replicas('here', lambda each: FakePool(each, timers), Random(1))
    for number, place in enumerate(('here', 'there', 'elsewhere')):
        replicas.update(
            ServerRecord(
                server='i-{0}'.format(number),
                service='s',
                host='127.0.0.1',
                port=1,
                data_centre=place,
                slots=2,
                state=ServerState.LIVE,
            ),
            0,
        )
    for replica in replicas:
        replica.learn_pace(is_wanted=is_learned)
    return replicas


@pytest.mark.parametrize(
    ('speeds', 'chosen'),
    [
        ((1.0, 1.0, 1.0), 'i-0'),
        # A little faster elsewhere is worth neither the way nor the bytes.
        ((1.3, 0.8, 1.0), 'i-0'),
        ((2.5, 0.8, 1.3), 'i-1'),
        ((2.8, 1.3, 0.8), 'i-2'),
    ],
)
def test_server_elsewhere_is_used_where_it_serves_better(speeds, chosen):
    replicas = make_replicas()
    for replica, speed in zip(replicas, speeds, strict=True):
        for number in range(50):
            replica.pace.observe(speed, 1, number * 200)
            # Single answers differ.
            replica.slowness.observe(speed * (1.3, 0.7)[number % 2], number)
    assert replicas.choose('s', 10_000).record.server == chosen


def test_server_at_hand_with_all_slots_taken_and_a_queue_is_passed_over():
    replicas = make_replicas()
    at_hand = replicas.replica('i-0')
    # It takes two requests as well as one.
    for number in range(100):
        at_hand.pace.observe(1, 1 + number % 2, 0)
    pool = at_hand.pool
    chosen = []
    for _ in range(4):
        replica = replicas.choose('s', 0)
        chosen.append(replica.record.server)
        replica.pool.attempts.append(_Unfinished())
    assert chosen[:2] == ['i-0', 'i-0']
    assert {'i-1', 'i-2'} & set(chosen)
    assert pool.load <= 3


@pytest.mark.parametrize(('shards', 'is_learned'), [(39, False), (40, True)])
def test_paces_are_learned_where_queries_are_split(shards, is_learned):
    """Elsewhere a VM sees too few of the answers of a server."""
    catalog = Catalog(EntryParser(EventLog(len, float)))
    replicas = make_replicas(is_learned=False)
    ServerUse(
        catalog,
        replicas,
        ServerStatements(LeavingServers(), ServerLimits(), QuietServers()),
        ColdTolerance(),
        EventLog(len, float),
        float,
    )
    names = ['s', *map(str, range(1, shards))]
    for routes, wanted in (([gather_route(names)], is_learned), ([], False)):
        table = RouteTable(1, routes, {}, CallerLimits())
        for on_routes in catalog.on_routes:
            on_routes(table)
        assert {each.pace is not None for each in replicas} == {wanted}


class _Unfinished:
    ended = False
