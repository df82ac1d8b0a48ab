"""Requests in flight are bounded, and callers leave a stopping daemon."""

import anyio
import httpx
import pytest
from starlette.responses import PlainTextResponse

from dandelionstage.daemon.callers import InFlight

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def client_of(app):
    transport = httpx.ASGITransport(app=app)
    return httpx.AsyncClient(transport=transport, base_url='http://vm')


async def test_one_request_too_many_is_refused_as_not_run():
    taken, release = anyio.Event(), anyio.Event()

    async def slow(scope, receive, send):
        taken.set()
        await release.wait()
        await PlainTextResponse('done')(scope, receive, send)

    app = InFlight(slow, lambda: True, max_requests=1)
    async with client_of(app) as client, anyio.create_task_group() as group:
        group.start_soon(client.get, '/')
        await taken.wait()
        with anyio.fail_after(5):
            refusal = await client.get('/')
        release.set()
    assert refusal.status_code == 429
    assert refusal.json()['reason'] == 'admission_full'
    assert refusal.json()['run'] == 'not_run'
    assert app.count == 0


@pytest.mark.parametrize('serving', [True, False])
async def test_only_a_stopping_daemon_closes_connections(serving):
    app = InFlight(PlainTextResponse('done'), lambda: serving, max_requests=1)
    async with client_of(app) as client:
        reply = await client.get('/')
    assert (reply.headers.get('connection') == 'close') is not serving
