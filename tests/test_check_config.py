"""The check of a configuration before it is sent."""

import json
import subprocess
import sys

import pytest

from dandelionstage.catalog.findings import FindingKind
from dandelionstage.platform.config_check import check

from .test_platform_nodes import ORDER, QUERY, SHARDS

SERVICES = tuple({'name': name} for name in ('orders', *SHARDS))


def text(routes=(QUERY, ORDER), version=3, services=SERVICES, **more):
    return json.dumps(
        {
            'version': version,
            'routes': list(map(dict, routes)),
            'services': list(services),
            **more,
        }
    ).encode()


def found(*texts):
    return {(each.kind, each.place) for each in check(*texts)}


def test_sound_configuration_has_no_findings():
    assert not check(text())


@pytest.mark.parametrize(
    ('change', 'kind'),
    [
        ({'timeoutMs': 'soon'}, FindingKind.ERROR),
        ({'routeType': 'sometimes'}, FindingKind.ERROR),
        ({'service': None}, FindingKind.ERROR),
        ({'prefix': '/o'}, FindingKind.NEVER_MATCHES),
        ({'host': 'h.example:80'}, FindingKind.NEVER_MATCHES),
        ({'targetLatencyMs': 2001}, FindingKind.CONTRADICTION),
        ({'service': 'nobody'}, FindingKind.CONTRADICTION),
        ({'gather': ['s1'], 'minCoverage': 1.1}, FindingKind.CONTRADICTION),
        ({'gather': ['s1', 's1'], 'topK': 1}, FindingKind.CONTRADICTION),
    ],
)
def test_fault_of_a_route_is_found(change, kind):
    findings = check(text([QUERY, {**ORDER, **change}]))
    assert kind in {each.kind for each in findings}


def test_route_that_a_later_one_replaces_never_matches():
    first = {**ORDER, 'name': 'first', 'host': 'H.example'}
    assert found(text([first, ORDER])) == {
        (FindingKind.NEVER_MATCHES, 'route first')
    }


def test_limits_that_refuse_everything_are_found():
    findings = found(text(limits={'maxHeaderBytes': 0}))
    assert findings == {(FindingKind.CONTRADICTION, 'limits')}


def test_differences_from_the_version_in_force_are_listed():
    later = text([QUERY, {**ORDER, 'timeoutMs': 900}], version=4)
    change = check(later, text())[0]
    assert change.place == 'route h.example/o/'
    assert change.problem == 'timeout_ms: 2000.0 to 900.0'
    assert (FindingKind.CONTRADICTION, 'version') in found(text(), later)


@pytest.mark.parametrize(
    ('content', 'code'),
    [(text(), 0), (text([{**ORDER, 'prefix': 'o'}]), 1), (b'{', 2)],
)
def test_command_prints_findings_and_exits_like_the_others(
    tmp_path, content, code
):
    path = tmp_path / 'proposed.json'
    path.write_bytes(content)
    run = subprocess.run(
        (
            sys.executable,
            '-m',
            'dandelionstage.platform.check_config',
            str(path),
            '--json',
        ),
        capture_output=True,
        check=False,
    )
    assert run.returncode == code
    assert bool(json.loads(run.stdout)) is bool(code)
