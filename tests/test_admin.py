"""The operator's HTTP interface shows what its sources say."""

import anyio
import httpx
import pytest
from starlette.applications import Starlette

from dandelionstage.model.contract import Contract
from dandelionstage.operations.admin import (
    AdminSources,
    Readiness,
    admin_app,
)
from dandelionstage.operations.metrics import Metrics
from dandelionstage.operations.show import promises
from dandelionstage.operations.status import Status

DIGEST = 'ab' * 32
CONTRACT = Contract.model_validate(
    {
        'customer': 'finder',
        'workloads': ('finder-desk',),
        'p99_ms': 100,
        'deadline_ms': 500,
        'minimum_coverage': 0.9,
        'work_per_s': 1000,
        'priority': 'urgent',
        'key_digests': (DIGEST,),
    },
)


def status() -> Status:
    return Status.model_validate(
        {
            'vm': 'a.1',
            'data_centre': 'a',
            'incarnation': 1,
            'state': 'serving',
            'ready': True,
            'detail': '',
            'live_vms': {'a': ('a.1',)},
            'documents': {'contract/finder': 3},
            'promises': promises({CONTRACT.customer: CONTRACT}),
            'customers': {},
            'retries': {},
        },
    )


async def fetch(app: Starlette, path: str) -> httpx.Response:
    transport = httpx.ASGITransport(app)
    address = 'http://admin'
    async with httpx.AsyncClient(transport=transport, base_url=address) as http:
        return await http.get(path)


def get(path: str, *, ready: bool = True) -> httpx.Response:
    sources = AdminSources(
        readiness=lambda: Readiness(ready, 'no configuration'),
        metrics=Metrics().render,
        status=status,
    )
    return anyio.run(fetch, admin_app(sources), path)


@pytest.mark.parametrize(('ready', 'code'), [(True, 200), (False, 503)])
def test_readiness_is_the_status_code(ready, code):
    response = get('/readyz', ready=ready)
    assert response.status_code == code
    assert response.json()['ready'] is ready


def test_health_does_not_depend_on_readiness():
    assert get('/healthz', ready=False).status_code == 200


def test_metrics_are_prometheus_text():
    response = get('/metrics')
    assert response.headers['content-type'].startswith('text/plain')
    assert 'dandelionstage_refusals_total{reason="ok"} 0.0' in response.text


@pytest.mark.parametrize('path', ['/metrics', '/v1/status'])
def test_summaries_are_prepared_first(path):
    steps = iter([None, None, None])
    sources = AdminSources(
        readiness=lambda: Readiness(ready=True),
        metrics=Metrics().render,
        status=status,
        prepare=lambda: steps,
    )
    assert anyio.run(fetch, admin_app(sources), path).is_success
    assert not list(steps)


def test_status_shows_contracts_without_keys():
    response = get('/v1/status')
    assert response.json()['promises']['finder']['p99_ms'] == 100
    assert DIGEST not in response.text
