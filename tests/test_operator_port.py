"""What operators see of real daemons: metrics, status, report and logs."""

import json
from collections.abc import Iterator
from functools import partial

import httpx
import pytest
from typer.testing import CliRunner

from dandelionstage.cli.main import app
from dandelionstage.model.verdict import Reason
from tools.fleet import Fleet, bg_south, kill
from tools.fleet.clients import base_url
from tools.fleet.processes import wait_until

pytestmark = pytest.mark.process

WRONG_KEY = 'key-of-nobody'


@pytest.fixture(scope='module')
def fleet(tmp_path_factory) -> Iterator[Fleet]:
    scenario = bg_south(data_centres=1, vms=2, shards=3, sync_shards=0)
    with Fleet(scenario, tmp_path_factory.mktemp('fleet')) as started:
        yield started


def operator_port(fleet: Fleet, number: int) -> str:
    return base_url(fleet.layout.vms[number].operator_port)


def run(fleet: Fleet, key: str, *arguments: str):
    entry = base_url(fleet.layout.vms[0].caller_port)
    operators = map(operator_port, (fleet, fleet), (0, 1))
    environment = {
        'DANDELIONSTAGE_KEY': key,
        'DANDELIONSTAGE_ENTRY': entry,
        'DANDELIONSTAGE_OPERATOR': ' '.join(operators),
    }
    return CliRunner().invoke(app, (*arguments, '--json'), env=environment)


def test_every_reason_is_at_zero_from_the_start(fleet):
    shown = httpx.get('{0}/metrics'.format(operator_port(fleet, 1))).text
    for reason in Reason:
        line = '_refusals_total{{reason="{0}"}} 0.0'.format(reason.value)
        assert line in shown


def test_a_query_shows_in_the_report(fleet):
    key = fleet.scenario.key_of('vets')
    before = json.loads(run(fleet, key, 'report').output)
    assert run(fleet, key, 'query', 'finder-desk', '1').exit_code == 0
    outcome = run(fleet, key, 'report')
    assert outcome.exit_code == 0
    after = json.loads(outcome.output)
    counted = [
        customer['totals']['answers']
        for whole in (before, after)
        for customer in whole['customers']
        if customer['customer'] == 'vets'
    ]
    assert counted[1] == counted[0] + 1


def test_every_hop_of_a_query_is_measured(fleet):
    key = fleet.scenario.key_of('vets')
    assert run(fleet, key, 'query', 'finder-desk', '1').exit_code == 0
    shown = [
        httpx.get('{0}/metrics'.format(operator_port(fleet, number))).text
        for number in (0, 1)
    ]
    for hop in ('query', 'sub_request', 'queue', 'backend'):
        count = 'latency_ms_count{{customer="vets",hop="{0}"}}'.format(hop)
        assert any(count in text for text in shown), hop


def test_a_refusal_is_counted_by_its_reason(fleet):
    refused = run(fleet, WRONG_KEY, 'query', 'finder-desk', '1')
    assert refused.exit_code == 3
    shown = httpx.get('{0}/metrics'.format(operator_port(fleet, 0))).text
    assert '_refusals_total{reason="unauthorized"} 1.0' in shown


def test_status_shows_every_daemon_ready(fleet):
    outcome = run(fleet, 'none', 'status')
    assert outcome.exit_code == 0
    daemons = json.loads(outcome.output)['daemons'].values()
    assert all(len(shown['live_vms']['plovdiv-a']) == 2 for shown in daemons)


def logged(fleet: Fleet, message: str) -> list[dict[str, str]]:
    return [
        line
        for vm in fleet.vms
        for line in map(json.loads, fleet.members[vm].log.open())
        if line['message'] == message
    ]


def test_an_invalid_document_is_counted_and_logged(fleet):
    fleet.config.publish_raw('contract/vets', b'{"customer": 7}')
    refused = partial(logged, fleet, 'document refused')
    member = fleet.members[fleet.layout.vms[0].vm]
    wait_until(lambda: len(refused()) == 2, member, 5)
    shown = httpx.get('{0}/metrics'.format(operator_port(fleet, 0))).text
    assert '_events_total{event="document_invalid"} 0.0' not in shown
    key = fleet.scenario.key_of('vets')
    assert run(fleet, key, 'query', 'finder-desk', '1').exit_code == 0


def test_no_key_in_logs_status_or_metrics(fleet):
    keys = [customer.key for customer in fleet.scenario.customers]
    run(fleet, WRONG_KEY, 'query', 'finder-desk', '1')
    run(fleet, keys[0], 'query', 'finder-desk', '1')
    texts = [
        httpx.get('{0}{1}'.format(operator_port(fleet, 0), path)).text
        for path in ('/metrics', '/v1/status')
    ]
    texts.extend(fleet.members[vm].log.read_text() for vm in fleet.vms)
    for key in (WRONG_KEY, *keys):
        assert all(key not in text for text in texts)


def test_log_lines_are_json(fleet):
    for vm in fleet.vms:
        lines = fleet.members[vm].log.read_text().splitlines()
        assert {json.loads(line)['vm'] for line in lines} == {vm}


def test_a_failed_attempt_is_logged_with_its_request(fleet):
    kill(fleet.members['backends-finder-desk-plovdiv-a'])
    key = fleet.scenario.key_of('vets')
    outcome = run(fleet, key, 'query', 'finder-desk', '1')
    shown = json.loads(outcome.output)
    requests = {line['request_id'] for line in logged(fleet, 'attempt failed')}
    assert requests == {shown['request_id']}
