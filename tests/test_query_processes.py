"""Every answer is true under faults of real processes on loopback."""

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
STRUCK = SHARDS[0]
RECORDS = 2
QUERY = {'ring': 'A1'}  # noqa: WPS407 -- never changed, sent as JSON


def start_fleet() -> Fleet:
    return Fleet(bg_south(data_centres=2, vms=2, shards=6, sync_shards=0))


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    with start_fleet() as started:
        yield started


@pytest.fixture
def doomed_fleet() -> Iterator[Fleet]:
    """A fleet that one test may damage."""
    with start_fleet() as started:
        yield started


@contextmanager
def faults(fleet, *replicas, **commanded):
    """Strike backend servers of one shard until the context ends."""
    for replica in replicas:
        with fleet.backend(f'{STRUCK}.{replica}') as control:
            control.set_faults(**commanded)
    yield
    for replica in replicas:
        with fleet.backend(f'{STRUCK}.{replica}') as control:
            control.set_faults()


def ask(fleet, vm='plovdiv-a.1', **body):
    response = httpx.post(
        '{0}/v1/query'.format(base_url(fleet.vms[vm].caller_port)),
        json={'workload': 'finder-desk', 'query': QUERY, **body},
        headers={'authorization': 'Bearer key-of-vets'},
        timeout=10,
    )
    return response.json()


def ask_many(fleet, count, vms=('plovdiv-a.1', 'plovdiv-b.1'), **body):
    """Ask several entries, a few queries at a time."""
    with ThreadPoolExecutor(4) as pool:
        asked = [
            pool.submit(ask, fleet, vm, **body)
            for vm in itertools.islice(itertools.cycle(vms), count)
        ]
        return [one.result() for one in asked]


def hold(shard, snapshot_name):
    """List the records that the stand-in truly holds."""
    asked = '{0}:{1}:{2}'.format(shard, snapshot_name, QUERY)
    found = xxhash.xxh32_hexdigest(asked.encode())
    return [f'{shard}-{found}-{rank}' for rank in range(RECORDS)]


def assert_true(answer):
    """Check that an answer is exactly what its coverage states."""
    assert 'coverage' in answer, answer
    coverage = answer['coverage']
    covered = [one for one in SHARDS if one not in coverage['missing']]
    assert coverage['total'] == len(SHARDS)
    assert coverage['answered'] == len(covered)
    expected = [hold(shard, answer['snapshot']) for shard in covered]
    found = [one['record'] for one in answer['records']]
    assert sorted(found) == sorted(itertools.chain(*expected))


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
    with faults(fleet, 'a', reply_fault=fault):
        answers = ask_many(fleet, 12)
    for answer in answers:
        assert_true(answer)
    assert any(answer['coverage']['complete'] for answer in answers)


@pytest.mark.parametrize('fault', ['wrong_snapshot', 'wrong_shard', 'cut'])
def test_faulty_replies_of_every_replica(fleet, fault):
    with faults(fleet, 'a', 'b', reply_fault=fault):
        answers = ask_many(fleet, 4, deadline_ms=1000)
    for answer in answers:
        assert_true(answer)
        assert answer['coverage']['missing'] == [STRUCK]


def test_snapshot_gone_everywhere_names_the_shard(fleet):
    held = fleet.scenario.snapshot
    with faults(fleet, 'a', 'b', gone_snapshots=[held]):
        answer = ask(fleet, deadline_ms=1000)
    assert_true(answer)
    assert answer['coverage']['missing'] == [STRUCK]


@pytest.mark.parametrize('replicas', ['a', 'b'])
def test_snapshot_gone_on_one_replica(fleet, replicas):
    with faults(fleet, replicas, gone_snapshots=[fleet.scenario.snapshot]):
        answers = ask_many(fleet, 8)
    for answer in answers:
        assert_true(answer)
        assert answer['coverage']['complete']


def test_snapshot_switched_under_load(fleet):
    shape = fleet.scenario.workloads[0]
    names = [fleet.scenario.snapshot, 'snapshot-2', 'snapshot-3']
    workload = 'workload/finder-desk'
    answers = []
    for newest in (2, 3):
        kept = [
            snapshot(fleet.layout, shape, name, place)
            for place, name in enumerate(names[:newest], start=1)
        ]
        body = {
            'workload': 'finder-desk',
            'snapshots': [one.model_dump() for one in reversed(kept)],
        }
        raw = httpx.Response(200, json=body).content
        with ThreadPoolExecutor(1) as pool:
            asked = pool.submit(ask_many, fleet, 30)
            fleet.config.publish_raw(workload, raw)
            answers.extend(asked.result())
    for answer in answers:
        assert_true(answer)
        assert answer['coverage']['complete']


def test_record_on_two_shards_comes_once(fleet):
    for shard in SHARDS:
        for replica in 'ab':
            with fleet.backend(f'{shard}.{replica}') as control:
                control.set_faults(straddling={'twice': list(SHARDS[:2])})
    records = [one['record'] for one in ask(fleet)['records']]
    for shard in SHARDS:
        for replica in 'ab':
            with fleet.backend(f'{shard}.{replica}') as control:
                control.set_faults()
    assert records.count('twice') == 1


def test_daemon_killed(doomed_fleet):
    ask_many(doomed_fleet, 8)
    kill(doomed_fleet.members['plovdiv-a.2'])
    for answer in ask_many(doomed_fleet, 30):
        assert_true(answer)
        assert answer['coverage']['complete']


def test_daemon_frozen_and_woken(doomed_fleet):
    ask_many(doomed_fleet, 8)
    freeze(doomed_fleet.members['plovdiv-a.2'])
    # Sooner than the links between daemons notice the silence.
    first = ask(doomed_fleet, deadline_ms=800)
    frozen = [first, *ask_many(doomed_fleet, 30)]
    wake(doomed_fleet.members['plovdiv-a.2'])
    vms = ('plovdiv-a.1', 'plovdiv-a.2', 'plovdiv-b.2')
    woken = ask_many(doomed_fleet, 15, vms)
    for answer in (*frozen, *woken):
        assert_true(answer)
        assert answer['coverage']['complete']
