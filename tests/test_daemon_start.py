"""A daemon with faults in its settings ends before it opens a port."""

import pytest
import yaml

from tools.fleet.ports import LOOPBACK
from tools.fleet.processes import Process


@pytest.mark.process
@pytest.mark.parametrize(
    ('changes', 'told'),
    [
        ({'colour': 'red'}, 'colour: found'),
        ({'operator_port': 0}, 'operator_port: found 0'),
        ({'config_service': None}, 'config_service: found None'),
    ],
)
def test_faults_end_the_process_with_code_two(tmp_path, changes, told):
    settings = {
        'vm': 'a.1',
        'data_centre': 'a',
        'host': LOOPBACK,
        'config_service': {'host': LOOPBACK, 'port': 1},
        **changes,
    }
    path = tmp_path / 'vm.yaml'
    path.write_text(yaml.safe_dump(settings))
    options = ('--settings', str(path))
    log = tmp_path / 'daemon.log'
    daemon = Process('daemon', log, 'dandelionstage.daemon.main', *options)
    daemon.start()
    assert daemon.wait(10) == 2
    assert '1 fault(s)' in log.read_text()
    assert told in log.read_text()
