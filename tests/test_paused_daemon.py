"""A daemon frozen for longer than a call's deadline, and woken."""

import signal

import pytest

from tests.test_actions_and_stop import act, post, runs, start_fleet

pytestmark = pytest.mark.process


@pytest.fixture
def fleet():
    with start_fleet() as started:
        yield started


def test_frozen_minter_starts_nothing_that_came_meanwhile(fleet):
    ticket = post(fleet, 'plovdiv-a.1', '/v1/tickets').json()['ticket']
    minter = fleet.members['plovdiv-a.1']
    minter.signal(signal.SIGSTOP)
    refusal = act(
        fleet,
        'plovdiv-b.1',
        ticket=ticket,
        deadline_ms=300,
    ).json()
    assert refusal['run'] == 'may_have_run'
    minter.signal(signal.SIGCONT)
    # What it does next comes after all that lay in its sockets.
    done = act(fleet, 'plovdiv-a.1').json()
    assert done['run'] == 'ran'
    assert len(runs(fleet)) == 1
