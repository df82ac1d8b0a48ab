"""The command line: exit codes, JSON output, and what is sent again."""

import json
from pathlib import Path

import httpx
import pytest
import yaml
from typer.testing import CliRunner

from dandelionstage.cli.main import app

EXAMPLES = Path(__file__).parent.parent / 'examples'
KEY = 'k-5f3a9c'
ENTRIES = ('--entry', 'http://a', '--entry', 'http://b')
QUERY = ('query', 'finder-desk', '{"ring": "1"}', *ENTRIES)
ACT = ('act', 'ringer-portal', '{"letter": "1"}', *ENTRIES)
LOST = httpx.ReadTimeout('silent')
UNREACHABLE = httpx.ConnectError('refused')


def run(*arguments: str, **environment: str):
    environment.setdefault('DANDELIONSTAGE_KEY', KEY)
    return CliRunner().invoke(app, arguments, env=environment)


def answer(missing: list[str]) -> httpx.Response:
    coverage = {
        'answered': 20 - len(missing),
        'total': 20,
        'complete': not missing,
        'missing': missing,
    }
    body = {
        'request_id': 'r-1',
        'snapshot': 's-1',
        'shard_map_revision': 1,
        'snapshot_age_s': 5,
        'coverage': coverage,
        'records': [{'record': 'x'}],
    }
    return httpx.Response(200, json=body)


def refusal(run_state: str, reason: str = 'quota_exceeded') -> httpx.Response:
    body = {'reason': reason, 'run': run_state, 'retry_after_ms': 70}
    return httpx.Response(429, json=body)


TICKET = httpx.Response(200, json={'ticket': 't-1', 'expires_in_ms': 9000})
OUTCOME = httpx.Response(
    200,
    json={'request_id': 'r', 'ticket': 't-1', 'run': 'ran', 'outcome': 7},
)


@pytest.fixture
def caller_api(monkeypatch):
    scripted = []
    sent = []

    def post(url, **request):  # noqa: WPS430 -- a closure over the script
        sent.append((url, request))
        reply = scripted.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    monkeypatch.setattr(httpx, 'post', post)
    return scripted, sent


@pytest.mark.parametrize(
    ('replies', 'code'),
    [
        ([answer([])], 0),
        ([answer(['s-20'])], 6),
        ([refusal('not_run')], 3),
        ([refusal('may_have_run')], 4),
        ([httpx.Response(500, content=b'<html>')], 4),
        ([httpx.Response(200, json={})], 4),
        ([UNREACHABLE, UNREACHABLE], 5),
        ([UNREACHABLE, answer([])], 0),
        ([LOST, answer([])], 0),
        ([LOST, LOST], 4),
    ],
)
def test_exit_codes_of_a_query(caller_api, replies, code):
    scripted, _ = caller_api
    scripted.extend(replies)
    assert run(*QUERY).exit_code == code
    assert not scripted


@pytest.mark.parametrize(
    ('replies', 'code'),
    [
        ([TICKET, OUTCOME], 0),
        ([TICKET, refusal('not_run')], 3),
        ([TICKET, LOST], 4),
        ([TICKET, UNREACHABLE, OUTCOME], 0),
        ([LOST, TICKET, OUTCOME], 0),
        ([UNREACHABLE, UNREACHABLE], 5),
    ],
)
def test_an_action_that_may_have_run_is_not_sent_again(
    caller_api,
    replies,
    code,
):
    scripted, sent = caller_api
    scripted.extend(replies)
    outcome = run(*ACT)
    assert outcome.exit_code == code
    assert not scripted
    if code == 4:
        assert '--ticket t-1' in outcome.output


def test_an_action_is_repeated_under_its_ticket(caller_api):
    scripted, sent = caller_api
    scripted.append(OUTCOME)
    assert run(*ACT, '--ticket', 't-1').exit_code == 0
    url, request = sent[0]
    assert url == 'http://a/v1/actions'
    assert request['json']['ticket'] == 't-1'


def test_a_partial_answer_names_the_missing_shards(caller_api):
    scripted, _ = caller_api
    scripted.append(answer(['s-20']))
    assert 'missing: s-20' in run(*QUERY).output


def test_json_output_is_one_object(caller_api):
    scripted, _ = caller_api
    scripted.append(answer([]))
    shown = json.loads(run(*QUERY, '--json').output)
    assert shown['coverage']['complete'] is True


def test_a_refusal_as_json_says_whether_it_ran(caller_api):
    scripted, _ = caller_api
    scripted.append(refusal('not_run'))
    shown = json.loads(run(*QUERY, '--json').output)
    assert (shown['run'], shown['retry_after_ms']) == ('not_run', 70)


def test_the_key_is_sent_but_never_shown(caller_api):
    scripted, sent = caller_api
    scripted.append(refusal('not_run', 'unauthorized'))
    outcome = run(*QUERY)
    assert sent[0][1]['headers']['Authorization'] == 'Bearer {0}'.format(KEY)
    assert KEY not in outcome.output


@pytest.mark.parametrize(
    'arguments',
    [
        (*QUERY, '--deadline-ms', '0'),
        (*QUERY, '--minimum-coverage', '2'),
        ('query', 'finder-desk', '{not json'),
        ('query', 'finder-desk'),
        ('contract', 'check', 'no-such-file'),
        ('contract', 'diff', 'no-such-file', 'no-such-file'),
        ('settings', 'check', 'no-such-file'),
        ('no-such-command',),
    ],
)
def test_bad_input_is_code_two(arguments):
    assert run(*arguments).exit_code == 2


def test_a_missing_key_is_bad_input():
    assert run(*QUERY, DANDELIONSTAGE_KEY='').exit_code == 2


@pytest.mark.parametrize('command', ['query', 'act', 'status', 'report'])
def test_help_teaches_by_example(command):
    shown = run(command, '--help').output
    assert 'Example: dandelionstage {0}'.format(command) in shown
    assert 'Exit codes' in shown


def test_the_examples_are_valid():
    names = ('contract', 'workload', 'backends', 'vms')
    files = [str(EXAMPLES / '{0}.yaml'.format(name)) for name in names]
    assert run('contract', 'check', *files).exit_code == 0
    settings = str(EXAMPLES / 'vm.yaml')
    assert run('settings', 'check', settings).exit_code == 0


def edited(folder: Path, **changes: object) -> str:
    path = folder / 'contract.yaml'
    contract = yaml.safe_load((EXAMPLES / 'contract.yaml').read_text())
    path.write_text(yaml.safe_dump({**contract, **changes}))
    return str(path)


@pytest.mark.parametrize(
    ('changes', 'told'),
    [
        ({'deadline_ms': 100}, 'deadline_ms (100) must be at least p99_ms'),
        ({'p99_ms': -1, 'priority': 'soon'}, 'priority'),
        ({'key_digests': ['short']}, 'key_digests.0'),
        ({'colour': 'red'}, 'colour'),
        ({'workloads': ['finder-desk', 'finder-desk']}, 'named 2 times'),
        ({'workloads': ['pult']}, 'pult is not published'),
        ({'work_per_s': 1, 'workloads': ['finder-desk']}, 'asks 2 shards'),
    ],
)
def test_contradictions_are_named(tmp_path, changes, told):
    workload = str(EXAMPLES / 'workload.yaml')
    path = edited(tmp_path, **changes)
    outcome = run('contract', 'check', path, workload)
    assert outcome.exit_code == 2
    assert told in outcome.output


def test_a_diff_shows_the_changed_terms_alone(tmp_path):
    path = edited(tmp_path, p99_ms=300)
    old = str(EXAMPLES / 'contract.yaml')
    shown = json.loads(run('contract', 'diff', old, path, '--json').output)
    assert shown == [{'term': 'p99_ms', 'old': '400', 'new': '300'}]


def test_a_shard_that_no_listed_server_holds_is_named(tmp_path):
    path = tmp_path / 'workload.yaml'
    text = (EXAMPLES / 'workload.yaml').read_text()
    path.write_text(text.replace('plovdiv-a.n1', 'plovdiv-a.n9'))
    backends = str(EXAMPLES / 'backends.yaml')
    outcome = run('contract', 'check', str(path), backends)
    assert outcome.exit_code == 2
    assert 'schemes-north: none of its servers' in outcome.output


def test_every_derived_limit_is_explained():
    names = ('contract', 'workload', 'vms')
    files = [str(EXAMPLES / '{0}.yaml'.format(name)) for name in names]
    shown = json.loads(run('contract', 'explain', *files, '--json').output)
    limits = {limit['limit']: limit for limit in shown['limits']}
    assert shown['sizes'] == {'data_centres': 1, 'vms': 1, 'shards': 2}
    assert limits['queries_per_s']['value'] == 1000
    assert all(limit['derived_from'] for limit in shown['limits'])
