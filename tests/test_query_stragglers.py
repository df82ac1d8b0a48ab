"""Queries avoid a slow replica at little extra load until it recovers."""

from dandelionstage.model.verdict import Reason

from . import query_fleet as fleet

SHARDS = 20
SLOW_SHARD = 's00'
PUBLISHED = fleet.workload(fleet.snapshot('S1', 1, fleet.shard_map(SHARDS)))
FAST_MS = 10
SLOW_MS = 200
QUERIES = 300
# The retry budget is 5% of the primaries, and the bucket starts with 20 tokens.
MAX_EXTRA_LOAD = (QUERIES + 20) * SHARDS // 20


def run_queries(router, is_slow, gap_ms=20, **terms):
    """Run queries in sequence and measure them.

    :returns: the answer time of each query in milliseconds, the extra load in
        sub-requests, and the simulator.
    """

    def serve(send):
        slow = send.sub_request.owner_key.shard == SLOW_SHARD and is_slow(send)
        return [(SLOW_MS if slow else FAST_MS, fleet.success_reply(send))]

    simulator = fleet.QuerySimulator(
        fleet.shared_state(PUBLISHED, router), serve
    )
    times = []
    extra_load = 0
    for _ in range(QUERIES):
        start_ms = simulator.now_ms
        deadline_ms = start_ms + fleet.DEADLINE_MS
        answer = simulator.run(fleet.query(deadline_ms, **terms))
        assert answer.verdict.reason is Reason.OK
        times.append(simulator.now_ms - start_ms)
        extra_load += answer.extra_load
        simulator.now_ms += gap_ms
    return times, extra_load, simulator


def is_in_data_centre_a(send):
    return send.sub_request.owner_key.data_centre == 'a'


def test_slow_data_centre_is_avoided():
    times, extra_load, _ = run_queries(
        fleet.route_two_data_centres, is_in_data_centre_a
    )
    # Only the queries that detect the slow data centre may be late.
    late = [one for one in times if one > FAST_MS + 3]
    assert len(late) <= 3
    assert extra_load <= MAX_EXTRA_LOAD


def test_slow_data_centre_is_not_probed_without_budget():
    _, extra_load, _ = run_queries(
        fleet.route_two_data_centres, is_in_data_centre_a, extra_load_fraction=0
    )
    assert extra_load == 0


def test_recovered_data_centre_is_used_again():
    """Data centre a recovers and is used first again.

    Data centre b, which was used in the meantime, is just as fast.
    """
    calls = []

    def is_slow(send):
        calls.append(send)
        return is_in_data_centre_a(send) and len(calls) < 100

    _, extra_load, simulator = run_queries(
        fleet.route_two_data_centres, is_slow
    )
    assert is_in_data_centre_a(simulator.attempts_at(SLOW_SHARD)[-1])
    assert extra_load <= MAX_EXTRA_LOAD


def test_slow_data_centre_without_alternative_is_not_probed():
    def is_slow(_):
        return True

    _, extra_load, simulator = run_queries(fleet.route, is_slow, gap_ms=1200)
    assert extra_load <= MAX_EXTRA_LOAD
    sent_ms = [
        time_ms
        for time_ms, send in simulator.sent
        if send.sub_request.owner_key.shard == SLOW_SHARD
    ]
    assert len(set(sent_ms)) == len(sent_ms)


def test_straggling_replica_of_one_owner_stays_within_the_budget():
    """The owner picks a slow replica for every tenth first attempt."""
    calls = []

    def is_slow(send):
        calls.append(send)
        return not send.sub_request.hedge and len(calls) % 10 == 0

    times, extra_load, _ = run_queries(fleet.route, is_slow)
    late = [one for one in times if one > FAST_MS * 5]
    assert extra_load <= MAX_EXTRA_LOAD
    assert len(late) <= 3
