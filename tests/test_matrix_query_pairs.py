"""Pairs of faults, where the second strikes the guard against the first."""

from dataclasses import replace

from dandelionstage.model.verdict import Reason, Run, Verdict

from . import query_fleet as fleet
from .test_matrix_query import (
    HONEST_MS,
    SHARDS,
    STRUCK,
    assert_whole,
    honest,
    play,
)


def gone(send, delay_ms=1.0):
    """Refuse for the one backend server, which no longer holds the pin."""
    backend = send.sub_request.replicas[0]
    reply = fleet.refused(send, Reason.SNAPSHOT_GONE, backend=backend)
    return [(delay_ms, replace(reply, held_snapshots=('S1',)))]


def in_turn(*struck):
    """Serve the attempts at one shard with these, then honestly."""
    left = list(struck)

    def serve(send):
        if send.sub_request.owner_key.shard != STRUCK or not left:
            return honest(send)
        return left.pop(0)(send)

    return serve


def route_apart(workload, shard, replicas, avoid):
    """Give the struck shard owners that serve nothing else."""
    targets = fleet.route(workload, shard, replicas, avoid)
    if shard != STRUCK:
        return targets
    return tuple(
        replace(target, vm=target.vm.replace('vm-', 'vm-s'))
        for target in targets
    )


def refuse(reason, run=Run.NOT_RUN, *, named=False):
    """Make a refusal that may name the backend server."""

    def serve(send):
        backend = send.sub_request.replicas[0] if named else None
        return [(1, fleet.refused(send, reason, run, backend))]

    return serve


def slow(send, delay_ms):
    """Answer honestly after a while."""
    return [(delay_ms, fleet.answered(send))]


def silent(_):
    """Never answer."""
    return []


def test_silent_owner_and_hedge_shed():
    serve = in_turn(silent, refuse(Reason.QUEUE_FULL))
    answer, player = play(serve)
    assert_whole(answer, extra_load=2)
    assert player.now_ms < 200


def straggle(send, struck):
    """Serve the first attempts at some shards by a function each."""
    shard = send.sub_request.owner_key.shard
    first = shard in struck and not send.sub_request.hedge
    return struck[shard](send) if first else honest(send)


def test_two_stragglers_and_the_loser_cancelled():
    struck = {STRUCK: silent, 's05': lambda send: slow(send, 150)}

    def serve(send):
        if send.sub_request.hedge and send.vm == 'vm-0':
            return slow(send, 20 if send.sub_request.call == 'call-7' else 40)
        return straggle(send, struck)

    answer, player = play(serve)
    assert_whole(answer, extra_load=2)
    assert 100 <= player.now_ms < 150
    first_cancelled, _ = player.cancelled_ms
    assert first_cancelled < player.now_ms


def test_both_replicas_of_a_living_owner_are_slow():
    struck = {'s05': silent}

    def serve(send):
        slow_one = send.sub_request.owner_key.shard == STRUCK
        if slow_one and send.vm == 'vm-0':
            return []
        return straggle(send, struck)

    answer, player = play(serve)
    assert_whole(answer, extra_load=3)
    owners = [send.vm for send in player.attempts_at(STRUCK)]
    assert owners == ['vm-0', 'vm-0', 'vm-1']


def test_half_the_shards_behind_a_silent_owner():
    def route(workload, shard, replicas, avoid):
        targets = fleet.route(workload, shard, replicas, avoid)
        return targets if shard < 's03' else targets[1:]

    def serve(send):
        return [] if send.vm == 'vm-0' else honest(send)

    answer, player = play(serve, router=route)
    assert_whole(answer, extra_load=3)
    assert player.now_ms < 60


def test_owner_lost_and_its_deputy_too():
    def serve(send):
        if send.sub_request.owner_key.shard != STRUCK:
            return honest(send)
        return honest(send) if send.vm == 'vm-s2' else []

    answer, player = play(serve, router=route_apart)
    assert_whole(answer, extra_load=2)
    owners = [send.vm for send in player.attempts_at(STRUCK)]
    assert owners == ['vm-s0', 'vm-s1', 'vm-s2']


def test_owner_killed_and_next_disagrees():
    serve = in_turn(
        refuse(Reason.PEER_UNREACHABLE),
        refuse(Reason.NOT_OWNER),
    )
    answer, _ = play(serve, extra_load_fraction=0)
    assert_whole(answer, extra_load=2)


def test_every_owner_unreachable_once():
    unreachable = refuse(Reason.PEER_UNREACHABLE)
    answer, _ = play(in_turn(unreachable, unreachable, unreachable))
    assert_whole(answer, extra_load=3)


def test_replica_drains_and_other_data_centre_is_cut():
    serve = in_turn(
        refuse(Reason.BACKEND_DRAINING, named=True),
        refuse(Reason.PEER_UNREACHABLE),
    )
    answer, player = play(
        serve,
        router=fleet.route_two,
        extra_load_fraction=0,
    )
    assert_whole(answer, extra_load=2)
    assert [send.vm for send in player.attempts_at(STRUCK)] == [
        'vm-a0',
        'vm-b0',
        'vm-b1',
    ]


def test_snapshot_gone_on_one_replica_and_the_other_lost():
    lost = refuse(Reason.CONNECTION_LOST, Run.MAY_HAVE_RUN, named=True)

    def serve(send):
        sub_request = send.sub_request
        pin_held = sub_request.pin.snapshot == 'S1'
        if pin_held or sub_request.owner_key.shard != STRUCK:
            return honest(send)
        first = sub_request.replicas[0] == 'b00-0'
        return gone(send) if first else lost(send)

    answer, _ = play(serve, extra_load_fraction=1)
    assert answer.pin.snapshot == 'S1'
    assert fleet.coverage_of(answer).complete


def test_wrong_part_and_snapshot_gone():
    def forge(send):
        part = replace(fleet.part_of(send.sub_request), shard='s01')
        return [(1, fleet.answered(send, part))]

    answer, _ = play(in_turn(forge, gone))
    assert_whole(answer, extra_load=2)


def test_part_of_the_pin_given_up_comes_late():
    def serve(send):
        sub_request = send.sub_request
        if sub_request.pin.snapshot == 'S1':
            return [(60, fleet.answered(send))]
        if sub_request.owner_key.shard == STRUCK:
            return gone(send)
        return [(20, fleet.answered(send))]

    answer, player = play(serve)
    assert answer.pin.snapshot == 'S1'
    assert {one.record.partition('@')[2] for one in answer.records} == {'S1'}
    assert len(player.cancelled) >= SHARDS - 1
    assert answer.events[Reason.BAD_REPLY] == SHARDS - 1


def test_each_snapshot_gone_at_another_shard():
    def serve(send):
        sub_request = send.sub_request
        lacking = STRUCK if sub_request.pin.snapshot == 'S2' else 's01'
        if sub_request.owner_key.shard == lacking:
            return gone(send, HONEST_MS + 1)
        return honest(send)

    answer, _ = play(serve)
    assert answer.verdict.reason is Reason.OK
    assert fleet.coverage_of(answer).answered == SHARDS - 1
    found = {one.record.partition('@')[2] for one in answer.records}
    assert found == {answer.pin.snapshot}


def test_late_first_reply_and_hedge_answered_twice():
    def late(send):
        return [(52, fleet.answered(send))]

    def twice(send):
        return [(1, fleet.answered(send)), (1, fleet.answered(send))]

    answer, player = play(in_turn(late, twice))
    assert_whole(answer, extra_load=1)
    assert len(player.cancelled) == 1


def test_shed_with_an_empty_budget_does_not_wait():
    def serve(send):
        if send.sub_request.owner_key.shard != STRUCK:
            return honest(send)
        return refuse(Reason.QUEUE_FULL)(send)

    answer, player = play(serve, extra_load_fraction=0)
    assert fleet.coverage_of(answer).missing == (STRUCK,)
    assert answer.events[Reason.RETRY_BUDGET_EMPTY] == 1
    assert player.now_ms < 20


def test_shed_until_after_the_deadline_is_not_retried():
    def shed(send):
        verdict = Verdict(Run.NOT_RUN, Reason.QUEUE_FULL, 5000)
        return [(1, replace(fleet.refused(send, Reason.OK), verdict=verdict))]

    answer, player = play(in_turn(shed), minimum_coverage=1)
    assert answer.verdict.retry_after_ms == 5000
    assert len(player.attempts_at(STRUCK)) == 1
    assert player.now_ms < 20


def test_pause_and_snapshot_gone_meanwhile():
    def serve(send):
        if send.sub_request.pin.snapshot == 'S1':
            return honest(send)
        return gone(send)

    answer, player = play(serve, paused_ms=300)
    assert answer.pin.snapshot == 'S1'
    assert fleet.coverage_of(answer).complete
    assert Reason.HEDGED not in answer.events


def test_pause_past_the_deadline_with_a_restart_waiting():
    answer, player = play(gone, paused_ms=fleet.DEADLINE_MS)
    assert len(player.sent) == SHARDS
    assert not answer.records


def test_owner_lost_and_budget_empty_still_answers_in_time():
    def serve(send):
        struck = send.sub_request.owner_key.shard == STRUCK
        return [] if struck else honest(send)

    answer, player = play(serve, extra_load_fraction=0)
    assert fleet.coverage_of(answer).missing == (STRUCK,)
    assert player.now_ms == fleet.DEADLINE_MS
    assert answer.extra_load == 0
