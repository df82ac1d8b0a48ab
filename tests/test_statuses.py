"""Replies whose status is none of HTTP are no answers (MIXED)."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.gateway.attempt import NoReply
from dandelionstage.gateway.clock import now_ms
from dandelionstage.gateway.reply_reader import ReplyReader
from dandelionstage.gateway.server_connection import ConnectionState
from dandelionstage.platform.store_client import _StoreConnection
from tools.standins.platform.server import ServerMode

from .gateway_harness import HEADER_NAMES
from .test_gateway_connections import (
    FakeTransport,
    open_server_connection,
    reply_bytes,
    send_attempt,
)
from .test_platform_nodes import (
    LOOKUP,
    ORDER,
    QUERY,
    list_runs,
    request_path,
    running,
    version_at,
)

BAD_STATUSES = (b'000', b'001', b'099', b'600', b'999')


@pytest.mark.parametrize('status', BAD_STATUSES)
@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 103 Early\r\n\r\n'])
def test_reply_without_a_status_ends_the_attempt_at_once(status, interim):
    """Regression: 000 left the attempt open, and 600 was passed on."""
    connection, _, _ = open_server_connection()
    outcomes = send_attempt(connection)
    reply = reply_bytes().replace(b'200', status, 1)
    connection.data_received(interim + reply)
    assert outcomes == [NoReply.BAD_REPLY]
    assert connection.state is ConnectionState.CLOSED


@given(st.integers(0, 999), st.binary(max_size=12))
def test_statuses_of_replies_are_those_of_http(status, reason):
    statuses = []
    reader = ReplyReader(
        HEADER_NAMES, lambda _, reply: statuses.append(reply.status)
    )
    reply = reply_bytes().replace(b'200 OK', b'%03d %b' % (status, reason), 1)
    reader.feed(reply)
    assert all(200 <= each <= 599 for each in statuses)


def test_reply_of_the_store_without_a_status_fails_the_call():
    async def scenario():
        connection = _StoreConnection('store')
        transport = FakeTransport()
        connection.connection_made(transport)
        call = asyncio.ensure_future(connection.get('/x'))
        await asyncio.sleep(0)
        connection.data_received(b'HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n')
        # Before, such a reply was waited for without end.
        assert call.done() or transport.closed
        with pytest.raises(EOFError):
            await call

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('path', 'method', 'status'),
    [('/l/x', 'GET', 502), ('/o/x', 'POST', 502), ('/q/x', 'GET', 502)],
)
def test_callers_get_no_answer_without_a_status(tmp_path, path, method, status):
    """An order is in doubt and runs once; the others are tried elsewhere."""

    async def scenario():
        async with running(tmp_path, 430) as (platform, (node,)):
            platform.publish(5, [QUERY, ORDER, LOOKUP])
            await platform.until(lambda: version_at(node) == 5)
            for server in platform.servers.values():
                server.mode = ServerMode.NO_STATUS
            begin_ms = now_ms()
            answer = await request_path(node, path, method=method)
            assert answer.status_code == status
            # The caller waits for 1.5 s.
            assert now_ms() - begin_ms < 1200
            if method == 'POST':
                assert len(list_runs(platform)) == 1

    asyncio.run(scenario())
