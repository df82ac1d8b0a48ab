"""Requests that arrive late in the grace period of a planned stop, in calm."""

import asyncio

import pytest

from dandelionstage.gateway.clock import now_ms
from tools.standins.platform.place import FRONT_PORT

from .test_platform_nodes import (
    GRACE_S,
    LOOKUP,
    ORDER,
    QUERY,
    list_runs,
    running,
    version_at,
)

#: The VM accepts requests this long after the stop signal; the rest of a
#: request that has begun by then arrives later.
BEGUN_S = 2.9
REST_S = 0.8
BODY = b'ring blank'


@pytest.mark.parametrize(
    ('path', 'work_ms'),
    [
        ('/o/x', 100),
        # More than is left of the grace period.
        ('/o/x', 2600),
        ('/l/x', 2600),
        ('/q/x', 2600),
    ],
)
def test_request_late_in_the_grace_period_is_answered(tmp_path, path, work_ms):
    """Guards against requests that are taken and cut when the VM stops."""

    async def scenario():
        async with running(tmp_path, 70) as (platform, (node,)):
            platform.publish(4, [QUERY, ORDER, LOOKUP])
            await platform.until(lambda: version_at(node) == 4)
            for server in platform.servers.values():
                server.work_ms = work_ms
            reader, writer = await asyncio.open_connection(
                node._settings_file.settings.ip, FRONT_PORT
            )
            begun_ms = now_ms()
            node.stop()
            stopping = asyncio.create_task(stop(node))
            await asyncio.sleep(BEGUN_S)
            head, rest = split_request(path)
            writer.write(head)
            await asyncio.sleep(REST_S)
            writer.write(rest)
            answer = await reader.read()
            writer.close()
            await stopping
            assert now_ms() - begun_ms <= GRACE_S * 1000
            status = int(answer.split()[1])
            if status == 503:
                assert not list_runs(platform, 'late')
            else:
                assert status in {200, 504}
            if path == '/o/x' and work_ms > 1000:
                # It may not be repeated, so it is not begun in vain.
                assert status == 503

    asyncio.run(scenario())


def test_request_that_outlasts_the_grace_period_is_answered(tmp_path):
    """It was taken before the stop; the caller learns that it may have run."""

    async def scenario():
        async with running(tmp_path, 71) as (platform, (node,)):
            for server in platform.servers.values():
                server.work_ms = 7500
            platform.publish(4, [{**ORDER, 'timeoutMs': 20_000}])
            await platform.until(lambda: version_at(node) == 4)
            reader, writer = await asyncio.open_connection(
                node._settings_file.settings.ip, FRONT_PORT
            )
            writer.write(b''.join(split_request('/o/x')))
            await platform.until(lambda: list_runs(platform, 'late'))
            begun_ms = now_ms()
            node.stop()
            stopping = asyncio.create_task(stop(node))
            answer = await reader.read()
            writer.close()
            await stopping
            assert now_ms() - begun_ms <= GRACE_S * 1000
            assert int(answer.split()[1]) == 504

    asyncio.run(scenario())


def split_request(path):
    """Return a request in two parts, the last without the end of its body."""
    head = (
        'POST {0} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\n'
        'X-Request-Deadline: 8000\r\nContent-Length: {1}\r\n\r\n'
    ).format(path, len(BODY))
    return head.encode() + BODY[:4], BODY[4:]


async def stop(node):
    """End the process as soon as it is done, as the platform does."""
    await asyncio.wait_for(node.wait_stopped(), GRACE_S)
    await node.__aexit__(None, None, None)
