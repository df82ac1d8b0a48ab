"""Requests for the head of an answer only."""

import asyncio

import httpx
import pytest

from dandelionstage.gateway.attempt import Attempt
from dandelionstage.gateway.server_connection import ConnectionState

from .test_gateway_connections import open_server_connection, reply_bytes
from .test_platform_nodes import (
    LOOKUP,
    QUERY,
    request_path,
    running,
    version_at,
)


@pytest.mark.parametrize('length', [b'0', b'300', b'9999999999'])
def test_reply_to_head_is_complete_after_its_head(length):
    """Regression: a body was waited for until the deadline."""
    connection, _, _ = open_server_connection()
    outcomes = []
    attempt = Attempt(
        's', b'r1', lambda left_ms: b'', lambda _, end: outcomes.append(end)
    )
    attempt.is_head = True
    connection.send(attempt)
    head = reply_bytes(b'').replace(b'Length: 0', b'Length: %b' % length)
    connection.data_received(head)
    assert [(reply.status, reply.body) for reply in outcomes] == [(200, b'')]
    # Whatever follows cannot be told from a body that should not be there.
    assert connection.state is ConnectionState.CLOSED


@pytest.mark.parametrize(
    ('path', 'status'), [('/l/x', 200), ('/q/x', 200), ('/nowhere', 404)]
)
def test_head_is_answered_without_a_body(tmp_path, path, status):
    """Errors too: their bodies were taken for the start of the next answer."""

    async def scenario():
        async with (
            running(tmp_path, 440) as (platform, (node,)),
            httpx.AsyncClient(timeout=10, trust_env=False) as client,
        ):
            platform.publish(5, [QUERY, LOOKUP])
            await platform.until(lambda: version_at(node) == 5)
            for method, is_empty in (('HEAD', True), ('GET', False)) * 2:
                answer = await request_path(node, path, client, method=method)
                assert answer.status_code == status
                assert is_empty != bool(answer.content)

    asyncio.run(scenario())
