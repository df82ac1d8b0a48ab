"""Checks that answers match their coverage while real processes fail.

Daemons and stand-ins of backend servers run as processes on loopback.
"""

import itertools
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import httpx
import pytest
import xxhash

from tools.fleet import Fleet, bg_south, freeze, kill, wake
from tools.fleet.clients import base_url
from tools.fleet.documents import snapshot

pytestmark = pytest.mark.process

SHARDS = tuple('finder-desk-{0:02}'.format(one) for one in range(1, 7))
FAULTY_SHARD = SHARDS[0]
RECORDS = 2
QUERY = {'ring': 'A1'}  # noqa: WPS407 -- never changed, sent as JSON


def start_fleet() -> Fleet:
    return Fleet(bg_south(data_centres=2, vms=2, shards=6, sync_shards=0))


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    with start_fleet() as started:
        yield started


@pytest.fixture
def disposable_fleet() -> Iterator[Fleet]:
    """Start a fleet for one test, which may damage it."""
    with start_fleet() as started:
        yield started


@contextmanager
def inject_faults(fleet, *replicas, **settings):
    """Set faults of backend servers of one shard until the context ends."""
    for replica in replicas:
        with fleet.backend(f'{FAULTY_SHARD}.{replica}') as control:
            control.set_faults(**settings)
    yield
    for replica in replicas:
        with fleet.backend(f'{FAULTY_SHARD}.{replica}') as control:
            control.set_faults()


def send_query(fleet, vm='plovdiv-a.1', **body):
    response = httpx.post(
        '{0}/v1/query'.format(base_url(fleet.vms[vm].caller_port)),
        json={'workload': 'finder-desk', 'query': QUERY, **body},
        headers={'authorization': 'Bearer key-of-vets'},
        timeout=10,
    )
    return response.json()


def send_queries(fleet, count, vms=('plovdiv-a.1', 'plovdiv-b.1'), **body):
    """Send queries to the entries in turn, four at a time."""
    with ThreadPoolExecutor(4) as pool:
        futures = [
            pool.submit(send_query, fleet, vm, **body)
            for vm in itertools.islice(itertools.cycle(vms), count)
        ]
        return [future.result() for future in futures]


def expected_records(shard, snapshot_name):
    """List the records that the stand-in holds."""
    hashed = '{0}:{1}:{2}'.format(shard, snapshot_name, QUERY)
    digest = xxhash.xxh32_hexdigest(hashed.encode())
    return [f'{shard}-{digest}-{rank}' for rank in range(RECORDS)]


def assert_consistent(answer):
    """Check that the records are exactly those of the shards answered."""
    assert 'coverage' in answer, answer
    coverage = answer['coverage']
    covered = [one for one in SHARDS if one not in coverage['missing']]
    assert coverage['total'] == len(SHARDS)
    assert coverage['answered'] == len(covered)
    expected = [
        expected_records(shard, answer['snapshot']) for shard in covered
    ]
    found = [one['record'] for one in answer['records']]
    assert sorted(found) == sorted(itertools.chain(*expected))


def is_complete(answer):
    return answer['coverage']['complete']


@pytest.mark.parametrize(
    'fault',
    [
        'lost',
        'withheld',
        'cut',
        'malformed',
        'repeated',
        'wrong_call',
        'wrong_snapshot',
        'wrong_shard',
    ],
)
def test_faulty_replies_of_one_replica(fleet, fault):
    with inject_faults(fleet, 'a', reply_fault=fault):
        answers = send_queries(fleet, 12)
    for answer in answers:
        assert_consistent(answer)
    assert any(answer['coverage']['complete'] for answer in answers)


@pytest.mark.parametrize('fault', ['wrong_snapshot', 'wrong_shard', 'cut'])
def test_faulty_replies_of_every_replica(fleet, fault):
    with inject_faults(fleet, 'a', 'b', reply_fault=fault):
        answers = send_queries(fleet, 4, deadline_ms=1000)
    for answer in answers:
        assert_consistent(answer)
        assert answer['coverage']['missing'] == [FAULTY_SHARD]


def test_snapshot_gone_everywhere_reports_the_shard_missing(fleet):
    held = fleet.scenario.snapshot
    with inject_faults(fleet, 'a', 'b', gone_snapshots=[held]):
        answer = send_query(fleet, deadline_ms=1000)
    assert_consistent(answer)
    assert answer['coverage']['missing'] == [FAULTY_SHARD]


@pytest.mark.parametrize('replicas', ['a', 'b'])
def test_snapshot_gone_on_one_replica(fleet, replicas):
    with inject_faults(
        fleet, replicas, gone_snapshots=[fleet.scenario.snapshot]
    ):
        answers = send_queries(fleet, 8)
    for answer in answers:
        assert_consistent(answer)
        assert answer['coverage']['complete']


def test_snapshot_switched_under_load(fleet):
    shape = fleet.scenario.workloads[0]
    names = [fleet.scenario.snapshot, 'snapshot-2', 'snapshot-3']
    workload = 'workload/finder-desk'
    answers = []
    for newest in (2, 3):
        kept = [
            snapshot(fleet.layout, shape, name, number)
            for number, name in enumerate(names[:newest], start=1)
        ]
        body = {
            'workload': 'finder-desk',
            'snapshots': [one.model_dump() for one in reversed(kept)],
        }
        raw = httpx.Response(200, json=body).content
        with ThreadPoolExecutor(1) as pool:
            future = pool.submit(send_queries, fleet, 30)
            fleet.config.publish_raw(workload, raw)
            answers.extend(future.result())
    for answer in answers:
        assert_consistent(answer)
        assert answer['coverage']['complete']


def test_record_on_two_shards_is_listed_once(fleet):
    for shard in SHARDS:
        for replica in 'ab':
            with fleet.backend(f'{shard}.{replica}') as control:
                control.set_faults(straddling={'twice': list(SHARDS[:2])})
    records = [one['record'] for one in send_query(fleet)['records']]
    for shard in SHARDS:
        for replica in 'ab':
            with fleet.backend(f'{shard}.{replica}') as control:
                control.set_faults()
    assert records.count('twice') == 1


def test_daemon_killed(disposable_fleet):
    send_queries(disposable_fleet, 8)
    kill(disposable_fleet.members['plovdiv-a.2'])
    for answer in send_queries(disposable_fleet, 30):
        assert_consistent(answer)
        assert answer['coverage']['complete']


def test_daemon_frozen_and_woken(disposable_fleet):
    send_queries(disposable_fleet, 8)
    freeze(disposable_fleet.members['plovdiv-a.2'])
    # This deadline passes before the links between daemons time out.
    first = send_query(disposable_fleet, deadline_ms=800)
    frozen = [first, *send_queries(disposable_fleet, 30)]
    wake(disposable_fleet.members['plovdiv-a.2'])
    vms = ('plovdiv-a.1', 'plovdiv-a.2', 'plovdiv-b.2')
    woken = send_queries(disposable_fleet, 15, vms)
    for answer in (*frozen, *woken):
        assert_consistent(answer)
    assert [one['coverage'] for one in frozen if not is_complete(one)] == []
    assert [one['coverage'] for one in woken if not is_complete(one)] == []
