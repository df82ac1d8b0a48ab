"""The configuration tasks distribute documents over real sockets."""

from types import MappingProxyType

import anyio
import httpx
import pytest
from anyio.abc import SocketAttribute

from dandelionstage.daemon.service_client import ServiceClient
from dandelionstage.model.ids import DocumentKey, Revision
from tests.configuration_nodes import (
    HOST,
    Node,
    free_port,
    start_nodes,
    start_service,
    wait_for_service,
)

_KEY = DocumentKey('backends/zdar')
_PATH = '/v1/documents/backends/zdar'
_BODY = MappingProxyType({'data_centre': 'zdar', 'backends': ()})


async def _wait_until_held(nodes: list[Node], revision: int) -> None:
    while any(node.store.held().get(_KEY) != revision for node in nodes):
        await anyio.sleep(0.02)


async def _run_nodes(client: httpx.AsyncClient, url: str) -> None:
    await wait_for_service(client)
    await client.put(_PATH, json=dict(_BODY))
    async with anyio.create_task_group() as group:
        nodes = start_nodes(4, url, group)
        with anyio.fail_after(6):
            await _wait_until_held(nodes, 1)
            while not all(node.task.ready() for node in nodes):
                await anyio.sleep(0.02)
        await client.delete(_PATH)
        with anyio.fail_after(2):
            await _wait_until_held(nodes, 2)
        await client.put(_PATH, json={'data_centre': 'elsewhere'})
        await client.post('/control/faults', json={'mode': 'down'})
        await client.put(_PATH, json=dict(_BODY))
        await client.post('/control/faults', json={'mode': 'ok'})
        with anyio.fail_after(4):
            await _wait_until_held(nodes, 4)
        group.cancel_scope.cancel()


@pytest.mark.process
def test_documents_reach_every_node():
    port = free_port()
    url = 'http://{0}:{1}'.format(HOST, port)
    service = start_service(port)
    try:
        anyio.run(_run_with_client, url)
    finally:
        service.terminate()
        service.wait()


async def _run_with_client(url: str) -> None:
    async with httpx.AsyncClient(base_url=url, trust_env=False) as client:
        await _run_nodes(client, url)


async def _read_silent_service() -> None:
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(SocketAttribute.local_port)
    url = 'http://{0}:{1}'.format(HOST, port)
    async with listener, ServiceClient(url) as client:
        with anyio.fail_after(3):
            assert await client.read_document(_KEY) is None
            assert await client.read_heads(Revision(0), 100) is None


def test_reads_of_a_silent_service_time_out():
    anyio.run(_read_silent_service)
