"""Tests of actions and planned stops with real processes on loopback.

They guard against second runs of an action, against wrong tickets that are
accepted, and against a stop that drops open tickets.
"""

import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from tools.fleet.clients import base_url
from tools.fleet.fleet import Fleet
from tools.fleet.scenarios import bg_south

pytestmark = pytest.mark.process


def start_fleet() -> Fleet:
    return Fleet(bg_south(data_centres=2, vms=2, shards=4, sync_shards=0))


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    with start_fleet() as started:
        yield started


@pytest.fixture
def disposable_fleet() -> Iterator[Fleet]:
    """A fleet that one test may damage."""
    with start_fleet() as started:
        yield started


def post(fleet, vm, path, **body):
    return httpx.post(
        '{0}{1}'.format(base_url(fleet.vms[vm].caller_port), path),
        json={'workload': 'ringer-portal', **body},
        headers={'authorization': 'Bearer key-of-finders'},
        timeout=10,
    )


def act(fleet, vm, **body):
    return post(fleet, vm, '/v1/actions', action={'letter': 'R1'}, **body)


def runs(fleet):
    """List the actions that any backend server ran, by its own log."""
    found = []
    for place in fleet.layout.backends:
        if place.shape.workload == 'ringer-portal':
            with fleet.backend(place.backend) as control:
                log = control.log()
            found.extend(event for event in log if event['event'] == 'run')
    return found


def test_one_ticket_runs_once_at_any_entry(fleet):
    ticket = post(fleet, 'plovdiv-a.1', '/v1/tickets').json()['ticket']
    with ThreadPoolExecutor() as pool:
        replies = list(
            pool.map(
                lambda vm: act(fleet, vm, ticket=ticket).json(),
                [*fleet.vms, *fleet.vms],
            ),
        )
    assert {reply['run'] for reply in replies} == {'ran'}
    assert len({str(reply['outcome']) for reply in replies}) == 1
    action_ids = [run['action_id'] for run in runs(fleet)]
    assert len(action_ids) == len(set(action_ids)) == 1


def test_another_action_with_the_same_ticket_is_refused(fleet):
    ticket = post(fleet, 'plovdiv-a.1', '/v1/tickets').json()['ticket']
    act(fleet, 'plovdiv-a.1', ticket=ticket)
    again = post(
        fleet,
        'plovdiv-b.1',
        '/v1/actions',
        action={'letter': 'another'},
        ticket=ticket,
    ).json()
    assert again['reason'] == 'ticket_reused'
    assert again['run'] == 'not_run'


@pytest.mark.parametrize('ticket', ['x', 'eyJ.abc', ''])
def test_forged_tickets_are_refused(fleet, ticket):
    before = len(runs(fleet))
    refusal = act(fleet, 'plovdiv-a.1', ticket=ticket).json()
    assert refusal['reason'] == 'unknown_ticket'
    assert refusal['run'] == 'not_run'
    assert len(runs(fleet)) == before


def test_key_without_ticket_is_refused(fleet):
    before = len(runs(fleet))
    refusal = act(fleet, 'plovdiv-a.1', idempotency_key='mine').json()
    assert refusal['reason'] == 'key_without_ticket'
    assert len(runs(fleet)) == before


def test_killed_minter_leaves_outcome_uncertain(disposable_fleet):
    fleet = disposable_fleet
    ticket = post(fleet, 'plovdiv-a.1', '/v1/tickets').json()['ticket']
    fleet.members['plovdiv-a.1'].signal(signal.SIGKILL)
    refusal = act(fleet, 'plovdiv-b.1', ticket=ticket).json()
    assert refusal['run'] == 'may_have_run'
    assert not runs(fleet)


def test_planned_stop_keeps_open_tickets_until_they_are_used(disposable_fleet):
    fleet = disposable_fleet
    ticket = post(fleet, 'plovdiv-a.1', '/v1/tickets').json()['ticket']
    stopping = fleet.members['plovdiv-a.1']
    stopping.signal(signal.SIGTERM)
    done = act(fleet, 'plovdiv-b.1', ticket=ticket).json()
    assert done['run'] == 'ran'
    assert stopping.wait(40) == 0
    assert len(runs(fleet)) == 1
