"""Pairs of faults where the second occurs while the first is handled.

The names of the tests give the two faults.  A retry, hedge or restart that does
not survive the second fault would lose a shard or mix snapshots.
"""

from dataclasses import replace

from dandelionstage.model.verdict import Reason, Run, Verdict

from . import query_fleet as fleet
from .test_matrix_query import (
    ANSWER_MS,
    FAULTY_SHARD,
    SHARDS,
    answer_normally,
    assert_complete,
    run_query,
)


def refuse_snapshot_gone(send, delay_ms=1.0):
    """Refuse because the backend server no longer holds the pin."""
    backend = send.sub_request.replicas[0]
    reply = fleet.refusal_reply(send, Reason.SNAPSHOT_GONE, backend=backend)
    return [(delay_ms, replace(reply, held_snapshots=('S1',)))]


def serve_in_order(*faults):
    """Serve attempts at the faulty shard in this order, then normally."""
    remaining = list(faults)

    def serve(send):
        if send.sub_request.owner_key.shard != FAULTY_SHARD or not remaining:
            return answer_normally(send)
        return remaining.pop(0)(send)

    return serve


def route_with_separate_owners(workload, shard, replicas, avoid):
    """Give the faulty shard owners that serve no other shard."""
    targets = fleet.route(workload, shard, replicas, avoid)
    if shard != FAULTY_SHARD:
        return targets
    return tuple(
        replace(target, vm=target.vm.replace('vm-', 'vm-s'))
        for target in targets
    )


def refuse(reason, run=Run.NOT_RUN, *, names_backend=False):
    """Return a function that refuses a sub-request.

    :param names_backend: whether the reply names the backend server.
    """

    def serve(send):
        backend = send.sub_request.replicas[0] if names_backend else None
        return [(1, fleet.refusal_reply(send, reason, run, backend))]

    return serve


def answer_late(send, delay_ms):
    """Answer after a delay."""
    return [(delay_ms, fleet.success_reply(send))]


def never_answer(_):
    """Send no reply."""
    return []


def test_unresponsive_owner_and_shed_hedge():
    serve = serve_in_order(never_answer, refuse(Reason.QUEUE_FULL))
    answer, simulator = run_query(serve)
    assert_complete(answer, extra_load=2)
    assert simulator.now_ms < 200


def serve_with_stragglers(send, slow_shards):
    """Serve first attempts at slow shards with the function of the shard."""
    shard = send.sub_request.owner_key.shard
    first = shard in slow_shards and not send.sub_request.hedge
    return slow_shards[shard](send) if first else answer_normally(send)


def test_two_stragglers_and_their_slower_attempts_cancelled():
    slow_shards = {
        FAULTY_SHARD: never_answer,
        's05': lambda send: answer_late(send, 150),
    }

    def serve(send):
        if send.sub_request.hedge and send.vm == 'vm-0':
            # Calls 1 to 6 are the primaries, call 7 is the first hedge.
            return answer_late(
                send, 20 if send.sub_request.call == 'call-7' else 40
            )
        return serve_with_stragglers(send, slow_shards)

    answer, simulator = run_query(serve)
    assert_complete(answer, extra_load=2)
    assert 100 <= simulator.now_ms < 150
    first_cancelled, _ = simulator.cancelled_ms
    assert first_cancelled < simulator.now_ms


def test_both_replicas_of_a_responsive_owner_are_slow():
    slow_shards = {'s05': never_answer}

    def serve(send):
        is_slow = send.sub_request.owner_key.shard == FAULTY_SHARD
        if is_slow and send.vm == 'vm-0':
            return []
        return serve_with_stragglers(send, slow_shards)

    answer, simulator = run_query(serve)
    assert_complete(answer, extra_load=3)
    owners = [send.vm for send in simulator.attempts_at(FAULTY_SHARD)]
    assert owners == ['vm-0', 'vm-0', 'vm-1']


def test_half_the_shards_of_an_unresponsive_owner():
    def route(workload, shard, replicas, avoid):
        targets = fleet.route(workload, shard, replicas, avoid)
        return targets if shard < 's03' else targets[1:]

    def serve(send):
        return [] if send.vm == 'vm-0' else answer_normally(send)

    answer, simulator = run_query(serve, router=route)
    assert_complete(answer, extra_load=3)
    assert simulator.now_ms < 60


def test_first_and_second_owner_unresponsive():
    def serve(send):
        if send.sub_request.owner_key.shard != FAULTY_SHARD:
            return answer_normally(send)
        return answer_normally(send) if send.vm == 'vm-s2' else []

    answer, simulator = run_query(serve, router=route_with_separate_owners)
    assert_complete(answer, extra_load=2)
    owners = [send.vm for send in simulator.attempts_at(FAULTY_SHARD)]
    assert owners == ['vm-s0', 'vm-s1', 'vm-s2']


def test_owner_killed_and_next_is_not_owner():
    serve = serve_in_order(
        refuse(Reason.PEER_UNREACHABLE),
        refuse(Reason.NOT_OWNER),
    )
    answer, _ = run_query(serve, extra_load_fraction=0)
    assert_complete(answer, extra_load=2)


def test_every_owner_unreachable_once():
    unreachable = refuse(Reason.PEER_UNREACHABLE)
    answer, _ = run_query(serve_in_order(unreachable, unreachable, unreachable))
    assert_complete(answer, extra_load=3)


def test_replica_drains_and_other_data_centre_is_unreachable():
    serve = serve_in_order(
        refuse(Reason.BACKEND_DRAINING, names_backend=True),
        refuse(Reason.PEER_UNREACHABLE),
    )
    answer, simulator = run_query(
        serve,
        router=fleet.route_two_data_centres,
        extra_load_fraction=0,
    )
    assert_complete(answer, extra_load=2)
    assert [send.vm for send in simulator.attempts_at(FAULTY_SHARD)] == [
        'vm-a0',
        'vm-b0',
        'vm-b1',
    ]


def test_snapshot_gone_on_one_replica_connection_lost_on_other():
    lose_connection = refuse(
        Reason.CONNECTION_LOST, Run.MAY_HAVE_RUN, names_backend=True
    )

    def serve(send):
        sub_request = send.sub_request
        restarted = sub_request.pin.snapshot == 'S1'
        if restarted or sub_request.owner_key.shard != FAULTY_SHARD:
            return answer_normally(send)
        first = sub_request.replicas[0] == 'b00-0'
        return refuse_snapshot_gone(send) if first else lose_connection(send)

    answer, _ = run_query(serve, extra_load_fraction=1)
    assert answer.pin.snapshot == 'S1'
    assert fleet.coverage_of(answer).complete


def test_wrong_part_and_snapshot_gone():
    def answer_with_wrong_shard(send):
        part = replace(fleet.part_of(send.sub_request), shard='s01')
        return [(1, fleet.success_reply(send, part))]

    answer, _ = run_query(
        serve_in_order(answer_with_wrong_shard, refuse_snapshot_gone)
    )
    assert_complete(answer, extra_load=2)


def test_late_part_under_an_abandoned_pin_is_dropped():
    def serve(send):
        sub_request = send.sub_request
        if sub_request.pin.snapshot == 'S1':
            return [(60, fleet.success_reply(send))]
        if sub_request.owner_key.shard == FAULTY_SHARD:
            return refuse_snapshot_gone(send)
        return [(20, fleet.success_reply(send))]

    answer, simulator = run_query(serve)
    assert answer.pin.snapshot == 'S1'
    assert {one.record.partition('@')[2] for one in answer.records} == {'S1'}
    assert len(simulator.cancelled) >= SHARDS - 1
    assert answer.events[Reason.BAD_REPLY] == SHARDS - 1


def test_each_snapshot_gone_on_a_different_shard():
    def serve(send):
        sub_request = send.sub_request
        lacking = FAULTY_SHARD if sub_request.pin.snapshot == 'S2' else 's01'
        if sub_request.owner_key.shard == lacking:
            return refuse_snapshot_gone(send, ANSWER_MS + 1)
        return answer_normally(send)

    answer, _ = run_query(serve)
    assert answer.verdict.reason is Reason.OK
    assert fleet.coverage_of(answer).answered == SHARDS - 1
    found = {one.record.partition('@')[2] for one in answer.records}
    assert found == {answer.pin.snapshot}


def test_late_first_reply_and_hedge_answered_twice():
    def late(send):
        return [(52, fleet.success_reply(send))]

    def twice(send):
        return [(1, fleet.success_reply(send)), (1, fleet.success_reply(send))]

    answer, simulator = run_query(serve_in_order(late, twice))
    assert_complete(answer, extra_load=1)
    assert len(simulator.cancelled) == 1


def test_shed_with_an_empty_budget_ends_without_waiting():
    def serve(send):
        if send.sub_request.owner_key.shard != FAULTY_SHARD:
            return answer_normally(send)
        return refuse(Reason.QUEUE_FULL)(send)

    answer, simulator = run_query(serve, extra_load_fraction=0)
    assert fleet.coverage_of(answer).missing == (FAULTY_SHARD,)
    assert answer.events[Reason.RETRY_BUDGET_EMPTY] == 1
    assert simulator.now_ms < 20


def test_shed_until_after_the_deadline_is_not_retried():
    def shed(send):
        verdict = Verdict(Run.NOT_RUN, Reason.QUEUE_FULL, 5000)
        return [
            (1, replace(fleet.refusal_reply(send, Reason.OK), verdict=verdict))
        ]

    answer, simulator = run_query(serve_in_order(shed), minimum_coverage=1)
    assert answer.verdict.retry_after_ms == 5000
    assert len(simulator.attempts_at(FAULTY_SHARD)) == 1
    assert simulator.now_ms < 20


def test_snapshot_gone_during_a_pause():
    def serve(send):
        if send.sub_request.pin.snapshot == 'S1':
            return answer_normally(send)
        return refuse_snapshot_gone(send)

    answer, simulator = run_query(serve, paused_ms=300)
    assert answer.pin.snapshot == 'S1'
    assert fleet.coverage_of(answer).complete
    assert Reason.HEDGED not in answer.events


def test_pause_past_the_deadline_with_a_pending_restart():
    answer, simulator = run_query(
        refuse_snapshot_gone, paused_ms=fleet.DEADLINE_MS
    )
    assert len(simulator.sent) == SHARDS
    assert not answer.records


def test_lost_owner_and_empty_budget_answer_at_the_deadline():
    def serve(send):
        faulty = send.sub_request.owner_key.shard == FAULTY_SHARD
        return [] if faulty else answer_normally(send)

    answer, simulator = run_query(serve, extra_load_fraction=0)
    assert fleet.coverage_of(answer).missing == (FAULTY_SHARD,)
    assert simulator.now_ms == fleet.DEADLINE_MS
    assert answer.extra_load == 0
