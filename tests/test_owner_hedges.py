"""A hedge is worth its load only on another replica."""

from dataclasses import replace

from tests.owner_fakes import (
    ONE,
    TWO,
    make_owner,
    make_server,
    make_sub_request,
    start,
    starts,
)


def test_hedge_goes_to_the_replica_not_in_use():
    owner = make_owner(make_server(ONE, slots=4), make_server(TWO, slots=4))
    held_up = start(owner, make_sub_request((TWO,)))
    for _ in range(2):
        other = replace(make_sub_request((ONE,)), request='other')
        assert starts(owner.offer(other, 0))
    hedge = start(owner, make_sub_request((ONE, TWO), hedge=True), 10)
    assert (held_up.backend, hedge.backend) == (TWO, ONE)


def test_hedge_may_go_to_the_only_replica_again():
    owner = make_owner(make_server(ONE, slots=4))
    start(owner, make_sub_request((ONE,)))
    hedge = start(owner, make_sub_request((ONE,), hedge=True), 10)
    assert hedge.backend == ONE
