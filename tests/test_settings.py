"""Tests of reading and validating settings files."""

from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.settings.model import Settings
from dandelionstage.settings.options import settings_from_arguments
from dandelionstage.settings.reader import SettingsFault, read_settings

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'vm.yaml'

INVALID_SETTINGS: Final = MappingProxyType(
    {
        'vm': 7,
        'data_centre': '',
        'host': 'localhost',
        'caller_port': 0,
        'inner_port': 70_000,
        'operator_port': 'many',
        'config_service': {'host': '1.2.3', 'colour': 'red'},
        'seed_peers': [{'vm': 'b'}, 'c'],
        'data_centre_order': ['b', 'b'],
        'log': {'level': 'loud', 'format': 'xml'},
        'bounds': {'max_body_bytes': 0, 'stop_ms': 1e9},
        'shards': 3,
    }
)

INVALID_PATHS: Final = frozenset(
    (
        'vm',
        'data_centre',
        'host',
        'caller_port',
        'inner_port',
        'operator_port',
        'config_service.host',
        'config_service.port',
        'config_service.colour',
        'seed_peers.0.data_centre',
        'seed_peers.0.host',
        'seed_peers.0.inner_port',
        'seed_peers.1',
        'data_centre_order',
        'log.level',
        'log.format',
        'bounds.max_body_bytes',
        'bounds.stop_ms',
        'shards',
    )
)


def write_settings(folder: Path, text: str) -> Path:
    path = folder / 'vm.yaml'
    path.write_text(text)
    return path


def faults_of(path: Path) -> dict[str, SettingsFault]:
    faults = read_settings(path).swap().value_or(())
    return {fault.path: fault for fault in faults}


def example_with(**changes: Any) -> dict[str, Any]:
    return {**yaml.safe_load(EXAMPLE.read_text()), **changes}


def test_example_is_valid():
    assert read_settings(EXAMPLE).unwrap().vm == 'plovdiv-a.1'


def test_all_faults_are_listed(tmp_path):
    path = write_settings(tmp_path, yaml.safe_dump(dict(INVALID_SETTINGS)))
    assert set(faults_of(path)) == INVALID_PATHS


def test_fault_of_an_unknown_key_lists_the_known_keys(tmp_path):
    path = write_settings(tmp_path, yaml.safe_dump(dict(INVALID_SETTINGS)))
    fault = faults_of(path)['config_service.colour']
    assert fault.found == "'red'"
    assert fault.allowed == 'unknown key, allowed here: host, port'


@pytest.mark.parametrize(
    ('changes', 'path'),
    [
        ({'operator_port': 8080}, 'operator_port'),
        ({'inner_port': 8080}, 'inner_port'),
        ({'vm': 'plovdiv-b.1'}, 'seed_peers'),
        ({'caller_port': True}, 'caller_port'),
    ],
)
def test_port_conflict_own_peer_or_boolean_port_is_one_fault(
    tmp_path, changes, path
):
    settings_path = write_settings(
        tmp_path, yaml.safe_dump(example_with(**changes))
    )
    assert set(faults_of(settings_path)) == {path}


@pytest.mark.parametrize(
    'text',
    ['', '[]', 'vm: [', 'a: &a [*a]', '\x00', 'vm: a\nvm: b', '? {}\n: 1'],
)
def test_file_without_a_valid_mapping_is_a_fault(tmp_path, text):
    assert faults_of(write_settings(tmp_path, text))


def test_duplicate_key_is_a_fault(tmp_path):
    text = '{0}\nvm: other\n'.format(EXAMPLE.read_text())
    fault = faults_of(write_settings(tmp_path, text))['(file)']
    assert 'duplicate key in a mapping' in fault.allowed


def test_missing_file_is_a_fault(tmp_path):
    assert set(faults_of(tmp_path / 'none.yaml')) == {'(file)'}


keys = st.sampled_from(sorted(Settings.model_fields))
numbers = st.lists(st.integers(), max_size=3)
values = st.none() | st.integers() | numbers


@given(st.dictionaries(keys, values))
def test_arbitrary_values_give_faults_without_raising(tmp_path_factory, raw):
    path = write_settings(tmp_path_factory.mktemp('s'), yaml.safe_dump(raw))
    assert faults_of(path)


def test_faults_exit_with_code_two(tmp_path, capsys):
    path = write_settings(tmp_path, yaml.safe_dump(dict(INVALID_SETTINGS)))
    with pytest.raises(SystemExit) as exit_info:
        settings_from_arguments(['--settings', str(path)])
    assert exit_info.value.code == 2
    assert '19 fault(s)' in capsys.readouterr().err
