"""Queries pass by a slow replica at little extra load and take it back."""

from dandelionstage.model.verdict import Reason

from . import query_fleet as fleet

SHARDS = 20
STRUCK = 's00'
PUBLISHED = fleet.workload(fleet.snapshot('S1', 1, fleet.shard_map(SHARDS)))
QUICK_MS = 10
SLOW_MS = 200
QUERIES = 300
# The budget of 5%, and what is saved up of it at the start.
ALLOWED = (QUERIES + 20) * SHARDS // 20


def play(router, is_slow, gap_ms=20, **terms):
    """Run queries one after the other and return how long each took."""

    def serve(send):
        slow = send.sub_request.owner_key.shard == STRUCK and is_slow(send)
        return [(SLOW_MS if slow else QUICK_MS, fleet.answered(send))]

    player = fleet.Player(fleet.tools(PUBLISHED, router), serve)
    times = []
    extra = 0
    for _ in range(QUERIES):
        began_ms = player.now_ms
        deadline_ms = began_ms + fleet.DEADLINE_MS
        answer = player.play(fleet.query(deadline_ms, **terms))
        assert answer.verdict.reason is Reason.OK
        times.append(player.now_ms - began_ms)
        extra += answer.extra_load
        player.now_ms += gap_ms
    return times, extra, player


def is_in_a(send):
    return send.sub_request.owner_key.data_centre == 'a'


def test_slow_data_centre_is_passed_by():
    times, extra, _ = play(fleet.route_two, is_in_a)
    late = [one for one in times if one > QUICK_MS + 3]
    assert len(late) <= 3
    assert extra <= ALLOWED


def test_slow_data_centre_is_not_probed_without_budget():
    _, extra, _ = play(fleet.route_two, is_in_a, extra_load_fraction=0)
    assert extra == 0


def test_recovered_data_centre_is_taken_back():
    """Even though the other one is as fast, and asked first meanwhile."""
    count = []

    def is_slow(send):
        count.append(send)
        return is_in_a(send) and len(count) < 100

    _, extra, player = play(fleet.route_two, is_slow)
    assert is_in_a(player.attempts_at(STRUCK)[-1])
    assert extra <= ALLOWED


def test_only_place_that_is_slow_is_not_asked_twice():
    def is_slow(_):
        return True

    _, extra, player = play(fleet.route, is_slow, gap_ms=1200)
    assert extra <= ALLOWED
    asked_ms = [
        at_ms
        for at_ms, send in player.sent
        if send.sub_request.owner_key.shard == STRUCK
    ]
    assert len(set(asked_ms)) == len(asked_ms)


def test_straggling_replica_of_one_owner_costs_at_most_the_budget():
    """The owner picks a slow replica for every tenth first attempt."""
    count = []

    def is_slow(send):
        count.append(send)
        return not send.sub_request.hedge and len(count) % 10 == 0

    times, extra, _ = play(fleet.route, is_slow)
    late = [one for one in times if one > QUICK_MS * 5]
    assert extra <= ALLOWED
    assert len(late) <= 3
