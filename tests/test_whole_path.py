"""The whole path with real processes on loopback."""

from collections.abc import Iterator

import httpx
import pytest

from tools.fleet.clients import base_url
from tools.fleet.fleet import Fleet
from tools.fleet.scenarios import bg_south

pytestmark = pytest.mark.process


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    scenario = bg_south(data_centres=2, vms=2, shards=6, sync_shards=0)
    with Fleet(scenario) as started:
        yield started


def ask(fleet, vm, customer='vets', **body):
    return httpx.post(
        '{0}/v1/query'.format(base_url(fleet.vms[vm].caller_port)),
        json={'workload': 'finder-desk', 'query': {'ring': 'A1'}, **body},
        headers={
            'authorization': 'Bearer {0}'.format(
                fleet.scenario.key_of(customer),
            ),
        },
        timeout=10,
    )


@pytest.mark.parametrize('vm', ['plovdiv-a.1', 'plovdiv-b.2'])
def test_whole_answer_of_one_snapshot(fleet, vm):
    answer = ask(fleet, vm).json()
    assert answer['coverage'] == {
        'answered': 6,
        'total': 6,
        'complete': True,
        'missing': [],
    }
    assert answer['snapshot'] == fleet.scenario.snapshot
    records = [record['record'] for record in answer['records']]
    assert len(set(records)) == len(records) == 12


@pytest.mark.parametrize(
    ('body', 'status', 'reason'),
    [
        (b'', 400, 'bad_request'),
        (b'{"workload": ', 400, 'bad_request'),
        (b'[1, 2]', 400, 'bad_request'),
        (b'{"workload": "finder-desk"}', 400, 'bad_request'),
        (b'{"workload": 7, "query": 1}', 400, 'bad_request'),
        (b'{"workload": "nothing", "query": 1}', 403, 'workload_not_allowed'),
        (b'{"query": 1, "workload": "x", "y": 2}', 400, 'bad_request'),
        (b'\x00' * 2_000_000, 413, 'body_too_large'),
    ],
)
def test_bad_bodies_are_refused(fleet, body, status, reason):
    response = httpx.post(
        '{0}/v1/query'.format(base_url(fleet.vms['plovdiv-a.1'].caller_port)),
        content=body,
        headers={'authorization': 'Bearer key-of-vets'},
    )
    assert response.status_code == status
    problem = response.json()
    assert problem['reason'] == reason
    assert problem['run'] == 'not_run'
    assert response.headers['content-type'] == 'application/problem+json'


def test_unknown_key_is_refused(fleet):
    response = httpx.post(
        '{0}/v1/query'.format(base_url(fleet.vms['plovdiv-a.1'].caller_port)),
        json={'workload': 'finder-desk', 'query': 1},
        headers={'authorization': 'Bearer nobody'},
    )
    assert response.status_code == 401
    assert response.json()['reason'] == 'unauthorized'


def test_deadline_that_cannot_be_met_says_so(fleet):
    with fleet.backend('finder-desk-01.a') as first:
        first.set_faults(slow_factor=1000)
        with fleet.backend('finder-desk-01.b') as second:
            second.set_faults(slow_factor=1000)
            answer = ask(fleet, 'plovdiv-a.1', deadline_ms=300).json()
            second.set_faults()
        first.set_faults()
    assert answer['coverage']['missing'] == ['finder-desk-01']
    assert not answer['coverage']['complete']
