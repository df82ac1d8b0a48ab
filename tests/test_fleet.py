"""The fleet tool publishes valid documents and controls its processes."""

from functools import partial
from itertools import chain
from typing import Any

import pytest

from dandelionstage.model import documents as published_documents
from dandelionstage.settings.reader import read_settings
from tools.fleet import bg_south, freeze, kill, stop, vysocina, wake
from tools.fleet.clients import is_ready
from tools.fleet.documents import documents
from tools.fleet.layout import Layout, lay_out
from tools.fleet.members import daemon_processes
from tools.fleet.ports import LOOPBACK, PortPicker
from tools.fleet.processes import FleetError, Process, wait_until
from tools.fleet.scenario import Scenario

WAIT_S = 10
SCENARIOS = (
    bg_south(),
    bg_south(data_centres=2, vms=2, sync_shards=0),
    vysocina(),
)


def bodies(scenario: Scenario, layout: Layout) -> dict[str, Any]:
    parsed: dict[str, Any] = {}
    for key, body in documents(scenario, layout):
        encoded = body.model_dump_json().encode()
        document = published_documents.Document(key, 1, encoded)
        parsed[key] = published_documents.parse(document).unwrap()
    return parsed


@pytest.mark.parametrize('scenario', SCENARIOS)
def test_every_document_is_valid(scenario):
    kinds = [key.split('/')[0] for key in bodies(scenario, lay_out(scenario))]
    assert kinds.count('vms') == len(scenario.data_centres)
    assert kinds.count('workload') == len(scenario.workloads)


@pytest.mark.parametrize('scenario', SCENARIOS)
def test_shard_maps_name_published_backends(scenario):
    layout = lay_out(scenario)
    published = bodies(scenario, layout)
    known = {
        server.backend
        for centre in scenario.data_centres
        for server in published['backends/{0}'.format(centre)].backends
    }
    for shape in scenario.workloads:
        workload = published['workload/{0}'.format(shape.workload)]
        shards = workload.snapshots[0].shards
        assert len(shards) == shape.shards
        assert known.issuperset(chain.from_iterable(shards.values()))


def test_replicas_are_spread_over_data_centres():
    layout = lay_out(bg_south(data_centres=2))
    first = [place for place in layout.backends if place.shard.endswith('-01')]
    assert len({place.data_centre for place in first[:2]}) == 2


def test_a_shard_apart_has_processes_of_its_own():
    layout = lay_out(bg_south(apart=('finder-desk-20',)))
    alone = [place for place in layout.backends if place.alone]
    assert [place.process for place in alone] == [
        'finder-desk-20.a',
        'finder-desk-20.b',
    ]


@pytest.mark.parametrize('scenario', SCENARIOS)
def test_daemon_settings_are_valid(scenario, tmp_path):
    layout = lay_out(scenario)
    daemons = daemon_processes(layout, tmp_path)
    assert len(daemons) == len(layout.vms)
    for daemon in daemons:
        path = tmp_path / '{0}.yaml'.format(daemon.name)
        assert read_settings(path).unwrap().vm == daemon.name


def never() -> bool:
    return False


@pytest.fixture
def server(tmp_path):
    port = PortPicker().pick()
    options = (str(port), '--bind', LOOPBACK, '--directory', str(tmp_path))
    process = Process('s', tmp_path / 's.log', 'http.server', *options)
    process.start()
    answers = partial(is_ready, port, '/')
    wait_until(answers, process, WAIT_S)
    yield process, answers
    process.end()


@pytest.mark.process
def test_a_process_is_ended_and_started_again(server):
    process, answers = server
    kill(process)
    assert not answers()
    process.start()
    wait_until(answers, process, WAIT_S)
    assert stop(process) == -15


@pytest.mark.process
def test_a_frozen_process_answers_once_woken(server):
    process, answers = server
    freeze(process)
    assert not answers()
    wake(process)
    assert answers()


@pytest.mark.process
def test_a_process_that_ends_early_is_reported_with_its_log(tmp_path):
    broken = Process('broken', tmp_path / 'broken.log', 'no_such_module')
    broken.start()
    with pytest.raises(FleetError, match='No module named no_such_module'):
        wait_until(never, broken, WAIT_S)
