"""The timeline of one request, from the logs of many VMs."""

import json

from typer.testing import CliRunner

from dandelionstage.cli.main import app

LINES = (
    {'at_ms': 1000, 'event': 'store_lost', 'vm': 'a', 'fault': 'silent'},
    {'at_ms': 9000, 'event': 'hedge', 'vm': 'a', 'request': 'r1', 'n': 1},
    {'at_ms': 8000, 'event': 'server_listed', 'vm': 'b', 'server': 'i-1'},
    {'at_ms': 9500, 'event': 'partial_answer', 'vm': 'a', 'request': 'r1'},
    {'at_ms': 9600, 'event': 'hedge', 'vm': 'a', 'request': 'r2'},
    {'at_ms': 9700, 'event': 'store_regained', 'vm': 'a'},
)


def write(path, lines):
    path.write_text('\n'.join(map(json.dumps, lines)))
    return str(path)


def test_lines_of_a_request_and_what_its_vm_had_learned(tmp_path):
    first = write(tmp_path / 'a.log', LINES[:3])
    second = write(tmp_path / 'b.log', LINES[3:])
    shown = CliRunner().invoke(app, ['explain', 'r1', second, first])
    assert shown.exit_code == 0
    events = [line.split()[-2] for line in shown.stdout.splitlines()]
    assert 'store_lost' in shown.stdout
    assert len(events) == 3
    assert shown.stdout.index('hedge') < shown.stdout.index('partial_answer')


def test_unknown_request_and_bad_lines_are_said(tmp_path):
    path = tmp_path / 'a.log'
    path.write_text('no json\n[1]\n{"event": "x"}\n')
    shown = CliRunner().invoke(app, ['explain', 'r9', str(path)])
    assert shown.exit_code == 2
    assert shown.output.count('no log line') == 3
    assert 'no line names the request r9' in shown.output


def test_missing_file_is_said(tmp_path):
    missing = str(tmp_path / 'missing.log')
    shown = CliRunner().invoke(app, ['explain', 'r9', missing])
    assert shown.exit_code == 2
    assert 'No such file' in shown.output


def test_logs_are_summed_up_with_reasons_and_plots(tmp_path):
    lines = [
        {'at_ms': at, 'event': 'attempt_failed', 'vm': 'a', 'outcome': '503'}
        for at in (0, 10, 5990)
    ]
    lines.append({'at_ms': 6000, 'event': 'started', 'vm': 'a'})
    lines.append(
        {'at_ms': 6000, 'event': 'lines_withheld', 'of': 'hedge', 'count': 7}
    )
    path = write(tmp_path / 'a.log', lines)
    shown = CliRunner().invoke(app, ['log-report', path])
    assert shown.exit_code == 0
    shown_lines = shown.stdout.splitlines()
    rows = {line.split()[0]: line for line in reversed(shown_lines)}
    assert rows['attempt_failed'].split()[1] == '3'
    plot = rows['attempt_failed'].partition('|')[2]
    assert plot[0] == '█'
    assert plot[59] == '▄'
    assert not plot[1:59].strip()
    assert 'attempt_failed: 503' in shown.stdout
    assert rows['hedge'].split()[1] == '7'


def test_logs_without_a_line_are_said(tmp_path):
    shown = CliRunner().invoke(app, ['log-report', str(tmp_path / 'no.log')])
    assert shown.exit_code == 2
