"""Single faults and pairs of them at each step of a query.

The entry's decisions run under virtual time; a function plays the owners and
the backend servers.
"""

from dataclasses import replace
from random import Random
from types import MappingProxyType

import pytest

from dandelionstage.model.messages import Pin
from dandelionstage.model.verdict import Reason, Run, not_run
from dandelionstage.retries.retry_steps import RetryStep, retry_step

from . import query_fleet as fleet
from .matrix_query import FREE, LOSSES, REFUSED, REPEATED, UNANSWERED

HONEST_MS = 5
SHARDS = 6
STRUCK = 's00'
MAY = Run.MAY_HAVE_RUN
PUBLISHED = fleet.workload(
    fleet.snapshot('S2', 2, fleet.shard_map(SHARDS)),
    fleet.snapshot('S1', 1, fleet.shard_map(SHARDS)),
)


LOSS_SERVED = MappingProxyType(
    {
        'kill': lambda send: [
            (1, fleet.refused(send, Reason.CONNECT_FAILED)),
        ],
        'cut': lambda send: [
            (1, fleet.refused(send, Reason.PEER_UNREACHABLE)),
        ],
        'silence': lambda _: [],
        'slow': lambda send: [(2000, fleet.answered(send))],
        'lost reply': lambda send: [
            (30, fleet.refused(send, Reason.CONNECTION_SILENT, MAY)),
        ],
        'shed': lambda send: [(1, fleet.refused(send, Reason.QUEUE_FULL))],
        'drain': lambda send: [
            (1, fleet.refused(send, Reason.BACKEND_DRAINING)),
        ],
    },
)


def honest(send):
    """Answer as a healthy owner and backend server would."""
    return [(HONEST_MS, fleet.answered(send))]


def strike_first(struck):
    """Serve honestly but for the first attempt at one shard."""
    seen = []

    def serve(send):
        if send.sub_request.owner_key.shard != STRUCK or seen:
            return honest(send)
        seen.append(send)
        return struck(send)

    return serve


def play(serve, *, router=fleet.route, paused_ms=0, **terms):
    """Run one query; return its answer and the player."""
    player = fleet.Player(fleet.tools(PUBLISHED, router), serve)
    answer = player.play(fleet.query(**terms), paused_ms=paused_ms)
    return answer, player


def assert_whole(answer, snapshot='S2', extra_load=0):
    """Check an answer from every shard of one snapshot, each once."""
    assert answer.verdict.reason is Reason.OK
    assert answer.pin.snapshot == snapshot
    assert fleet.coverage_of(answer).complete
    found = [one.record for one in answer.records]
    shards = fleet.shard_map(SHARDS)
    assert found == ['{0}@{1}'.format(shard, snapshot) for shard in shards]
    assert answer.extra_load == extra_load


def name(case):
    return '{0}-{1}'.format(*case)


@pytest.mark.parametrize('case', REFUSED, ids=name)
def test_refused(case):
    _, _, reason, run = case
    named = retry_step(reason) in {RetryStep.NEXT_REPLICA, RetryStep.GONE}

    def refuse(send):
        backend = send.sub_request.replicas[0] if named else None
        return [(1, fleet.refused(send, reason, run, backend))]

    free = run is Run.NOT_RUN and reason in FREE
    answer, player = play(
        strike_first(refuse),
        router=fleet.route_two,
        extra_load_fraction=0 if free else 0.05,
    )
    assert_whole(answer, extra_load=1)
    first, second = player.attempts_at(STRUCK)
    assert first.vm != second.vm
    if retry_step(reason) is not RetryStep.NEXT_OWNER:
        assert first.sub_request.replicas != second.sub_request.replicas
    assert answer.events[reason] == 1
    assert_whole(play(strike_first(refuse))[0], extra_load=1)


@pytest.mark.parametrize('case', UNANSWERED, ids=name)
def test_unanswered(case):
    late_ms = case[2]

    def fall_silent(send):
        return [(late_ms, fleet.answered(send))] if late_ms else []

    answer, player = play(strike_first(fall_silent))
    assert_whole(answer, extra_load=1)
    assert player.now_ms < 100
    first, second = player.attempts_at(STRUCK)
    assert [one.call for one in player.cancelled] == [first.sub_request.call]
    assert second.sub_request.hedge
    assert answer.events[Reason.HEDGED] == 1


@pytest.mark.parametrize('case', REPEATED, ids=name)
def test_repeated(case):
    def repeat(send):
        forged = replace(fleet.part_of(send.sub_request), records=())
        second = (HONEST_MS, fleet.answered(send, forged))
        return [*honest(send), second, second]

    answer, player = play(repeat)
    assert_whole(answer)
    assert len(player.sent) == SHARDS
    assert answer.events[Reason.BAD_REPLY] > 0


@pytest.mark.parametrize('case', LOSSES, ids=name)
def test_shard_lost(case):
    """No replica of one shard answers: the answer says so, in time."""

    def lose(send):
        if send.sub_request.owner_key.shard != STRUCK:
            return honest(send)
        return LOSS_SERVED[case[1]](send)

    answer, player = play(lose)
    assert answer.verdict.reason is Reason.OK
    assert fleet.coverage_of(answer).missing == (STRUCK,)
    assert len(answer.records) == SHARDS - 1
    assert player.now_ms <= fleet.DEADLINE_MS
    refusal, _ = play(lose, minimum_coverage=1)
    assert refusal.verdict.reason is Reason.COVERAGE_TOO_LOW
    assert refusal.verdict.run is Run.RAN
    assert not refusal.records


def test_reordered_replies_make_the_same_answer():
    random = Random(7)

    def serve(send):
        return [(random.uniform(1, 40), fleet.answered(send))]

    answers = [play(serve)[0] for _ in range(20)]
    for answer in answers:
        assert_whole(answer)
    assert len({answer.records for answer in answers}) == 1


def test_paused_before_start_sends_nothing():
    player = fleet.Player(fleet.tools(PUBLISHED), honest)
    player.now_ms = fleet.DEADLINE_MS
    answer = player.play(fleet.query())
    assert answer.verdict == not_run(Reason.DEADLINE_EXPIRED)
    assert not player.sent


def test_paused_with_replies_unread_starts_nothing():
    answer, player = play(honest, paused_ms=300)
    assert_whole(answer)
    assert len(player.sent) == SHARDS


def test_paused_past_the_deadline_starts_nothing():
    answer, player = play(honest, paused_ms=fleet.DEADLINE_MS)
    assert len(player.sent) == SHARDS
    assert answer.verdict.reason is Reason.COVERAGE_TOO_LOW
    assert answer.verdict.run is Run.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ('reason', 'run', 'terms'),
    [
        (Reason.PEER_UNREACHABLE, Run.NOT_RUN, {'extra_load_fraction': 0}),
        (Reason.PEER_UNREACHABLE, Run.MAY_HAVE_RUN, {}),
        (Reason.BACKEND_DRAINING, Run.NOT_RUN, {'extra_load_fraction': 0}),
        (Reason.NOT_OWNER, Run.NOT_RUN, {'extra_load_fraction': 0}),
    ],
    ids=('cut', 'cut after the send', 'drain', 'view disagreement'),
)
def test_nearest_data_centre_refuses_everything(reason, run, terms):
    def serve(send):
        if send.sub_request.owner_key.data_centre == 'b':
            return honest(send)
        return [(1, fleet.refused(send, reason, run))]

    answer, _ = play(serve, router=fleet.route_two, **terms)
    assert answer.verdict.reason is Reason.OK
    assert fleet.coverage_of(answer).complete


def test_silent_owner_of_every_shard_is_replaced():
    def serve(send):
        return [] if send.vm == fleet.VMS[0] else honest(send)

    player = fleet.Player(fleet.tools(PUBLISHED), serve)
    assert_whole(player.play(fleet.query()), extra_load=SHARDS)
    player.now_ms += 200
    assert_whole(player.play(fleet.query()))


@pytest.mark.parametrize('first_ms', [5, 190])
def test_everything_slow_is_not_hedged(first_ms):
    def serve(send):
        first = send.sub_request.call == 'call-1'
        return [(first_ms if first else 190, fleet.answered(send))]

    answer, _ = play(serve)
    assert_whole(answer)


@pytest.mark.parametrize('reason', [Reason.QUEUE_FULL, None])
def test_no_retry_storm(reason):
    """Under total overload attempts stay near one per sub-request."""

    def serve(send):
        return [(1, fleet.refused(send, reason))] if reason else []

    player = fleet.Player(fleet.tools(PUBLISHED), serve)
    primaries = 0
    for _ in range(500):
        answer = player.play(fleet.query())
        primaries += answer.primaries
        player.now_ms = 0
    assert primaries == 500 * SHARDS
    assert len(player.sent) <= primaries * 1.05 + 20


@pytest.mark.parametrize('served', range(SHARDS))
@pytest.mark.parametrize('reason', [Reason.SNAPSHOT_GONE, Reason.SHARD_MOVED])
def test_pin_gone_between_two_sub_requests(served, reason):
    """The newest snapshot vanishes after any number of parts."""
    seen = []

    def serve(send):
        sub_request = send.sub_request
        seen.append(send)
        if len(seen) <= served or sub_request.pin.snapshot == 'S1':
            return [(len(seen) % 40, fleet.answered(send))]
        backend = sub_request.replicas[0]
        reply = fleet.refused(send, reason, backend=backend)
        return [(len(seen) % 40, replace(reply, held_snapshots=('S1',)))]

    answer, player = play(serve)
    assert_whole(answer, 'S1', len(player.sent) - SHARDS)
    player.sent.clear()
    assert_whole(player.play(fleet.query()), 'S1')


def test_pin_gone_too_late_to_start_again():
    def serve(send):
        if send.sub_request.owner_key.shard != STRUCK:
            return honest(send)
        backend = send.sub_request.replicas[0]
        reply = fleet.refused(send, Reason.SNAPSHOT_GONE, backend=backend)
        return [(fleet.DEADLINE_MS / 2 - 10, reply)]

    answer, player = play(serve, extra_load_fraction=0)
    assert {send.sub_request.pin.snapshot for _, send in player.sent} == {'S2'}
    assert fleet.coverage_of(answer).missing == (STRUCK,)


def test_restart_that_fares_worse_loses_nothing():
    def serve(send):
        shard = send.sub_request.owner_key.shard
        if send.sub_request.pin.snapshot == 'S1':
            return honest(send) if shard == STRUCK else []
        if shard != STRUCK:
            return honest(send)
        backend = send.sub_request.replicas[0]
        reply = fleet.refused(send, Reason.SNAPSHOT_GONE, backend=backend)
        return [(HONEST_MS + 1, reply)]

    answer, _ = play(serve)
    assert answer.pin.snapshot == 'S2'
    assert fleet.coverage_of(answer).missing == (STRUCK,)
    assert {one.record.partition('@')[2] for one in answer.records} == {'S2'}


@pytest.mark.parametrize(
    'change',
    [
        {'pin': Pin('S1', 2)},
        {'pin': Pin('S2', 1)},
        {'shard': 's01'},
        {'backend': 'b01-0'},
    ],
    ids=('snapshot switch', 'repartition', 'crossed', 'stranger'),
)
def test_wrong_part_is_asked_for_again(change):
    def answer_wrongly(send):
        part = replace(fleet.part_of(send.sub_request), **change)
        return [(HONEST_MS, fleet.answered(send, part))]

    answer, _ = play(strike_first(answer_wrongly))
    assert_whole(answer, extra_load=1)
    dropped = Reason.SNAPSHOT_MISMATCH if 'pin' in change else Reason.BAD_REPLY
    assert answer.events[dropped] > 0


def test_part_from_an_owner_not_asked_is_asked_for_again():
    def answer_elsewhere(send):
        return [(1, replace(fleet.answered(send), answered_by='vm-9'))]

    assert_whole(play(strike_first(answer_elsewhere))[0], extra_load=1)


def test_stale_reader_is_refused_what_nobody_holds():
    def serve(send):
        backend = send.sub_request.replicas[0]
        reply = fleet.refused(send, Reason.SNAPSHOT_GONE, backend=backend)
        return [(1, replace(reply, held_snapshots=('S3',)))]

    answer, player = play(serve)
    assert answer.verdict.run is not Run.RAN
    assert answer.verdict.reason is Reason.COVERAGE_TOO_LOW
    assert len(player.sent) <= 2 * 2 * SHARDS


def test_new_snapshot_held_by_nobody_and_old_one_lacking_a_shard():
    """One shard that lacks the old snapshot is no reason to refuse all."""

    def serve(send):
        sub_request = send.sub_request
        struck = sub_request.owner_key.shard == STRUCK
        if sub_request.pin.snapshot == 'S1' and not struck:
            return honest(send)
        backend = sub_request.replicas[0]
        return [(1, fleet.refused(send, Reason.SNAPSHOT_GONE, backend=backend))]

    made = fleet.tools(PUBLISHED)
    for backend in PUBLISHED.snapshots[1].shards[STRUCK]:
        pin = Pin('S1', 1)
        made.held.note_lacking(backend, STRUCK, pin, 0)
    answer = fleet.Player(made, serve).play(fleet.query())
    assert answer.pin.snapshot == 'S1'
    assert fleet.coverage_of(answer).missing == (STRUCK,)


def test_nothing_published_is_refused():
    made = replace(fleet.tools(PUBLISHED), workload_of=lambda _: None)
    answer = fleet.Player(made, honest).play(fleet.query())
    assert answer.verdict == not_run(Reason.NO_SNAPSHOT)


def test_two_entries_with_different_views_answer_of_their_own_pin():
    for published in PUBLISHED.snapshots:
        made = fleet.tools(fleet.workload(published))
        answer = fleet.Player(made, honest).play(fleet.query())
        assert_whole(answer, published.snapshot)
        assert answer.published_at_s == published.published_at_s


def test_shard_without_a_published_replica_is_named():
    def route(workload, shard, replicas, avoid):
        if shard == STRUCK:
            return ()
        return fleet.route(workload, shard, replicas, avoid)

    answer, player = play(honest, router=route)
    assert fleet.coverage_of(answer).missing == (STRUCK,)
    assert answer.primaries == SHARDS - 1
    assert not player.attempts_at(STRUCK)
