"""Single faults at each step of a query.

The entry's decisions run in virtual time; a function simulates the owners and
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
from .matrix_query import (
    BUDGET_EXEMPT,
    LOST_SHARDS,
    REFUSED,
    REPEATED,
    UNANSWERED,
)

ANSWER_MS = 5
SHARDS = 6
FAULTY_SHARD = 's00'
MAY_HAVE_RUN = Run.MAY_HAVE_RUN
PUBLISHED = fleet.workload(
    fleet.snapshot('S2', 2, fleet.shard_map(SHARDS)),
    fleet.snapshot('S1', 1, fleet.shard_map(SHARDS)),
)

# How every owner replies for the faulty shard, by fault of the matrix.
REPLIES_BY_FAULT = MappingProxyType(
    {
        'kill': lambda send: [
            (1, fleet.refusal_reply(send, Reason.CONNECT_FAILED)),
        ],
        'cut': lambda send: [
            (1, fleet.refusal_reply(send, Reason.PEER_UNREACHABLE)),
        ],
        'silence': lambda _: [],
        'slow': lambda send: [(2000, fleet.success_reply(send))],
        'lost reply': lambda send: [
            (
                30,
                fleet.refusal_reply(
                    send, Reason.CONNECTION_SILENT, MAY_HAVE_RUN
                ),
            ),
        ],
        'shed': lambda send: [
            (1, fleet.refusal_reply(send, Reason.QUEUE_FULL))
        ],
        'drain': lambda send: [
            (1, fleet.refusal_reply(send, Reason.BACKEND_DRAINING)),
        ],
    },
)


def answer_normally(send):
    """Return the reply of a healthy owner and backend server."""
    return [(ANSWER_MS, fleet.success_reply(send))]


def fail_first(serve_fault):
    """Serve normally except for the first attempt at the faulty shard."""
    seen = []

    def serve(send):
        if send.sub_request.owner_key.shard != FAULTY_SHARD or seen:
            return answer_normally(send)
        seen.append(send)
        return serve_fault(send)

    return serve


def run_query(serve, *, router=fleet.route, paused_ms=0, **terms):
    """Run one query and return its answer and the simulator."""
    simulator = fleet.QuerySimulator(
        fleet.shared_state(PUBLISHED, router), serve
    )
    answer = simulator.run(fleet.query(**terms), paused_ms=paused_ms)
    return answer, simulator


def assert_complete(answer, snapshot='S2', extra_load=0):
    """Check that each shard of one snapshot was merged exactly once."""
    assert answer.verdict.reason is Reason.OK
    assert answer.pin.snapshot == snapshot
    assert fleet.coverage_of(answer).complete
    found = [one.record for one in answer.records]
    shards = fleet.shard_map(SHARDS)
    assert found == ['{0}@{1}'.format(shard, snapshot) for shard in shards]
    assert answer.extra_load == extra_load


def case_id(case):
    return '{0}-{1}'.format(*case)


@pytest.mark.parametrize('case', REFUSED, ids=case_id)
def test_refused_attempt_is_retried(case):
    _, _, reason, run = case
    names_backend = retry_step(reason) in {
        RetryStep.NEXT_REPLICA,
        RetryStep.GONE,
    }

    def refuse(send):
        backend = send.sub_request.replicas[0] if names_backend else None
        return [(1, fleet.refusal_reply(send, reason, run, backend))]

    exempt = run is Run.NOT_RUN and reason in BUDGET_EXEMPT
    answer, simulator = run_query(
        fail_first(refuse),
        router=fleet.route_two_data_centres,
        extra_load_fraction=0 if exempt else 0.05,
    )
    assert_complete(answer, extra_load=1)
    first, second = simulator.attempts_at(FAULTY_SHARD)
    assert first.vm != second.vm
    if retry_step(reason) is not RetryStep.NEXT_OWNER:
        assert first.sub_request.replicas != second.sub_request.replicas
    assert answer.events[reason] == 1
    assert_complete(run_query(fail_first(refuse))[0], extra_load=1)


@pytest.mark.parametrize('case', UNANSWERED, ids=case_id)
def test_unanswered_attempt_is_hedged(case):
    late_ms = case[2]

    def delay_or_lose(send):
        return [(late_ms, fleet.success_reply(send))] if late_ms else []

    answer, simulator = run_query(fail_first(delay_or_lose))
    assert_complete(answer, extra_load=1)
    assert simulator.now_ms < 100
    first, second = simulator.attempts_at(FAULTY_SHARD)
    assert [one.call for one in simulator.cancelled] == [first.sub_request.call]
    assert second.sub_request.hedge
    assert answer.events[Reason.HEDGED] == 1


@pytest.mark.parametrize('case', REPEATED, ids=case_id)
def test_repeated_reply_is_dropped(case):
    def repeat(send):
        forged = replace(fleet.part_of(send.sub_request), records=())
        second = (ANSWER_MS, fleet.success_reply(send, forged))
        return [*answer_normally(send), second, second]

    answer, simulator = run_query(repeat)
    assert_complete(answer)
    assert len(simulator.sent) == SHARDS
    assert answer.events[Reason.BAD_REPLY] > 0


@pytest.mark.parametrize('case', LOST_SHARDS, ids=case_id)
def test_lost_shard_is_reported_missing(case):
    """No replica of one shard answers; the answer reports it in time."""

    def lose(send):
        if send.sub_request.owner_key.shard != FAULTY_SHARD:
            return answer_normally(send)
        return REPLIES_BY_FAULT[case[1]](send)

    answer, simulator = run_query(lose)
    assert answer.verdict.reason is Reason.OK
    assert fleet.coverage_of(answer).missing == (FAULTY_SHARD,)
    assert len(answer.records) == SHARDS - 1
    assert simulator.now_ms <= fleet.DEADLINE_MS
    refusal, _ = run_query(lose, minimum_coverage=1)
    assert refusal.verdict.reason is Reason.COVERAGE_TOO_LOW
    assert refusal.verdict.run is Run.RAN
    assert not refusal.records


def test_reordered_replies_make_the_same_answer():
    random = Random(7)

    def serve(send):
        return [(random.uniform(1, 40), fleet.success_reply(send))]

    answers = [run_query(serve)[0] for _ in range(20)]
    for answer in answers:
        assert_complete(answer)
    assert len({answer.records for answer in answers}) == 1


def test_paused_before_start_sends_nothing():
    simulator = fleet.QuerySimulator(
        fleet.shared_state(PUBLISHED), answer_normally
    )
    simulator.now_ms = fleet.DEADLINE_MS
    answer = simulator.run(fleet.query())
    assert answer.verdict == not_run(Reason.DEADLINE_EXPIRED)
    assert not simulator.sent


def test_pause_with_unread_replies_sends_nothing_more():
    answer, simulator = run_query(answer_normally, paused_ms=300)
    assert_complete(answer)
    assert len(simulator.sent) == SHARDS


def test_pause_past_the_deadline_sends_nothing_more():
    answer, simulator = run_query(answer_normally, paused_ms=fleet.DEADLINE_MS)
    assert len(simulator.sent) == SHARDS
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
    """The other data centre answers for every shard."""

    def serve(send):
        if send.sub_request.owner_key.data_centre == 'b':
            return answer_normally(send)
        return [(1, fleet.refusal_reply(send, reason, run))]

    answer, _ = run_query(serve, router=fleet.route_two_data_centres, **terms)
    assert answer.verdict.reason is Reason.OK
    assert fleet.coverage_of(answer).complete


def test_unresponsive_owner_of_every_shard_is_replaced():
    """The next query avoids the owner from the start, without extra load."""

    def serve(send):
        return [] if send.vm == fleet.VMS[0] else answer_normally(send)

    simulator = fleet.QuerySimulator(fleet.shared_state(PUBLISHED), serve)
    assert_complete(simulator.run(fleet.query()), extra_load=SHARDS)
    simulator.now_ms += 200
    assert_complete(simulator.run(fleet.query()))


@pytest.mark.parametrize('first_ms', [5, 190])
def test_no_hedge_when_every_shard_is_slow(first_ms):
    """Slowness of all shards is overload, which hedges would make worse."""

    def serve(send):
        first = send.sub_request.call == 'call-1'
        return [(first_ms if first else 190, fleet.success_reply(send))]

    answer, _ = run_query(serve)
    assert_complete(answer)


@pytest.mark.parametrize('reason', [Reason.QUEUE_FULL, None])
def test_no_retry_storm(reason):
    """Under total overload, retries add about 5% of the primaries at most."""

    def serve(send):
        return [(1, fleet.refusal_reply(send, reason))] if reason else []

    simulator = fleet.QuerySimulator(fleet.shared_state(PUBLISHED), serve)
    primaries = 0
    for _ in range(500):
        answer = simulator.run(fleet.query())
        primaries += answer.primaries
        simulator.now_ms = 0
    assert primaries == 500 * SHARDS
    # The bucket of the retry budget starts with 20 tokens.
    assert len(simulator.sent) <= primaries * 1.05 + 20


@pytest.mark.parametrize('served', range(SHARDS))
@pytest.mark.parametrize('reason', [Reason.SNAPSHOT_GONE, Reason.SHARD_MOVED])
def test_pin_unavailable_between_two_sub_requests(served, reason):
    """The newest snapshot is dropped after any number of parts."""
    seen = []

    def serve(send):
        sub_request = send.sub_request
        seen.append(send)
        if len(seen) <= served or sub_request.pin.snapshot == 'S1':
            return [(len(seen) % 40, fleet.success_reply(send))]
        backend = sub_request.replicas[0]
        reply = fleet.refusal_reply(send, reason, backend=backend)
        return [(len(seen) % 40, replace(reply, held_snapshots=('S1',)))]

    answer, simulator = run_query(serve)
    assert_complete(answer, 'S1', len(simulator.sent) - SHARDS)
    simulator.sent.clear()
    assert_complete(simulator.run(fleet.query()), 'S1')


def test_pin_unavailable_too_late_to_restart():
    def serve(send):
        if send.sub_request.owner_key.shard != FAULTY_SHARD:
            return answer_normally(send)
        backend = send.sub_request.replicas[0]
        reply = fleet.refusal_reply(send, Reason.SNAPSHOT_GONE, backend=backend)
        return [(fleet.DEADLINE_MS / 2 - 10, reply)]

    answer, simulator = run_query(serve, extra_load_fraction=0)
    assert {send.sub_request.pin.snapshot for _, send in simulator.sent} == {
        'S2'
    }
    assert fleet.coverage_of(answer).missing == (FAULTY_SHARD,)


def test_restart_with_less_coverage_keeps_the_first_gather():
    """The answer comes from the pin with the highest coverage."""

    def serve(send):
        shard = send.sub_request.owner_key.shard
        if send.sub_request.pin.snapshot == 'S1':
            return answer_normally(send) if shard == FAULTY_SHARD else []
        if shard != FAULTY_SHARD:
            return answer_normally(send)
        backend = send.sub_request.replicas[0]
        reply = fleet.refusal_reply(send, Reason.SNAPSHOT_GONE, backend=backend)
        return [(ANSWER_MS + 1, reply)]

    answer, _ = run_query(serve)
    assert answer.pin.snapshot == 'S2'
    assert fleet.coverage_of(answer).missing == (FAULTY_SHARD,)
    assert {one.record.partition('@')[2] for one in answer.records} == {'S2'}


@pytest.mark.parametrize(
    'change',
    [
        {'pin': Pin('S1', 2)},
        {'pin': Pin('S2', 1)},
        {'shard': 's01'},
        {'backend': 'b01-0'},
    ],
    ids=('snapshot switch', 'repartition', 'wrong shard', 'wrong backend'),
)
def test_wrong_part_is_retried(change):
    def answer_with_wrong_part(send):
        part = replace(fleet.part_of(send.sub_request), **change)
        return [(ANSWER_MS, fleet.success_reply(send, part))]

    answer, _ = run_query(fail_first(answer_with_wrong_part))
    assert_complete(answer, extra_load=1)
    dropped = Reason.SNAPSHOT_MISMATCH if 'pin' in change else Reason.BAD_REPLY
    assert answer.events[dropped] > 0


def test_part_from_another_owner_is_retried():
    def answer_from_another_owner(send):
        return [(1, replace(fleet.success_reply(send), answered_by='vm-9'))]

    assert_complete(
        run_query(fail_first(answer_from_another_owner))[0], extra_load=1
    )


def test_stale_snapshots_held_by_no_backend_are_refused():
    def serve(send):
        backend = send.sub_request.replicas[0]
        reply = fleet.refusal_reply(send, Reason.SNAPSHOT_GONE, backend=backend)
        return [(1, replace(reply, held_snapshots=('S3',)))]

    answer, simulator = run_query(serve)
    assert answer.verdict.run is not Run.RAN
    assert answer.verdict.reason is Reason.COVERAGE_TOO_LOW
    # Two snapshots are tried on at most two replicas of each shard.
    assert len(simulator.sent) <= 2 * 2 * SHARDS


def test_new_snapshot_on_no_backend_and_old_one_without_a_shard():
    """One shard that lacks the old snapshot does not fail the query."""

    def serve(send):
        sub_request = send.sub_request
        faulty = sub_request.owner_key.shard == FAULTY_SHARD
        if sub_request.pin.snapshot == 'S1' and not faulty:
            return answer_normally(send)
        backend = sub_request.replicas[0]
        return [
            (
                1,
                fleet.refusal_reply(
                    send, Reason.SNAPSHOT_GONE, backend=backend
                ),
            )
        ]

    shared = fleet.shared_state(PUBLISHED)
    for backend in PUBLISHED.snapshots[1].shards[FAULTY_SHARD]:
        pin = Pin('S1', 1)
        shared.held_snapshots.mark_missing(backend, FAULTY_SHARD, pin, 0)
    answer = fleet.QuerySimulator(shared, serve).run(fleet.query())
    assert answer.pin.snapshot == 'S1'
    assert fleet.coverage_of(answer).missing == (FAULTY_SHARD,)


def test_query_of_unpublished_workload_is_refused():
    shared = replace(fleet.shared_state(PUBLISHED), workload_of=lambda _: None)
    answer = fleet.QuerySimulator(shared, answer_normally).run(fleet.query())
    assert answer.verdict == not_run(Reason.NO_SNAPSHOT)


def test_entries_with_different_views_answer_under_their_own_pins():
    for published in PUBLISHED.snapshots:
        shared = fleet.shared_state(fleet.workload(published))
        answer = fleet.QuerySimulator(shared, answer_normally).run(
            fleet.query()
        )
        assert_complete(answer, published.snapshot)
        assert answer.published_at_s == published.published_at_s


def test_shard_without_a_published_replica_is_reported_missing():
    def route(workload, shard, replicas, avoid):
        if shard == FAULTY_SHARD:
            return ()
        return fleet.route(workload, shard, replicas, avoid)

    answer, simulator = run_query(answer_normally, router=route)
    assert fleet.coverage_of(answer).missing == (FAULTY_SHARD,)
    assert answer.primaries == SHARDS - 1
    assert not simulator.attempts_at(FAULTY_SHARD)
