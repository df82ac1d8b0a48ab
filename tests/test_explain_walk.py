"""A stranger finds three causes by the page, from logs alone."""

import asyncio

from typer.testing import CliRunner

from dandelionstage.cli.main import app
from tools.platform_walk import walk


def explain(tmp_path, request_id):
    logs = [str(path) for path in tmp_path.glob('*.log')]
    shown = CliRunner().invoke(app, ['explain', request_id, *logs])
    assert shown.exit_code == 0
    own = [line for line in shown.stdout.splitlines() if line[0] == '*']
    return '\n'.join(own)


def test_cause_of_each_failure_is_in_its_timeline(tmp_path):
    statuses = asyncio.run(walk(tmp_path))
    assert list(statuses.values()) == [200, 503, 502]

    partial = explain(tmp_path, 'partial-answer')
    assert 'partial_answer' in partial
    assert "lacking={'s2': ['i-" in partial
    assert 'parts=3 shards=4 least_parts=3' in partial

    refused = explain(tmp_path, 'refused-order')
    assert refused.count('outcome=503 not run') == 2
    assert refused.count(' retry ') == 1
    assert 'request_refused' in refused
    assert 'may_have_run=0' in refused

    unknown = explain(tmp_path, 'unknown-outcome')
    assert 'outcome=broken' in unknown
    assert 'request_failed' in unknown
    assert 'may_have_run=1' in unknown
