"""Tests that a hedge runs on another replica, if there is another one."""

from dataclasses import replace

from tests.owner_fakes import (
    FIRST_BACKEND,
    SECOND_BACKEND,
    list_starts,
    make_owner,
    make_server,
    make_sub_request,
    start_attempt,
)


def test_hedge_goes_to_the_replica_not_in_use():
    owner = make_owner(
        make_server(FIRST_BACKEND, slots=4),
        make_server(SECOND_BACKEND, slots=4),
    )
    first = start_attempt(owner, make_sub_request((SECOND_BACKEND,)))
    for _ in range(2):
        other = replace(make_sub_request((FIRST_BACKEND,)), request='other')
        assert list_starts(owner.offer(other, 0))
    hedge = start_attempt(
        owner, make_sub_request((FIRST_BACKEND, SECOND_BACKEND), hedge=True), 10
    )
    assert (first.backend, hedge.backend) == (SECOND_BACKEND, FIRST_BACKEND)


def test_hedge_may_go_to_the_only_replica_again():
    owner = make_owner(make_server(FIRST_BACKEND, slots=4))
    start_attempt(owner, make_sub_request((FIRST_BACKEND,)))
    hedge = start_attempt(
        owner, make_sub_request((FIRST_BACKEND,), hedge=True), 10
    )
    assert hedge.backend == FIRST_BACKEND
