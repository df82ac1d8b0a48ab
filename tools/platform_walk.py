"""Three failed requests on a stand-in of the platform, and their timelines.

    python -m tools.platform_walk [FOLDER]

Writes the logs of two VMs to a folder and shows what ``dandelionstage
explain`` makes of them, for the walk in docs/OPERATIONS.md.
"""

import asyncio
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final

import httpx

from dandelionstage.cli.timeline import lines_about, read_lines, say
from tools.standins.platform.place import FRONT_PORT, Platform
from tools.standins.platform.server import PlatformServer, ServerMode

__all__ = ('FAILURES', 'Failure', 'main', 'walk')

_SEED: Final = 7
_SHARDS: Final = ('s1', 's2', 's3', 's4')
_ORDERS: Final = 'orders'
_QUERY: Final = MappingProxyType(
    {
        'name': 'query',
        'host': 'h.example',
        'prefix': '/q/',
        'routeType': 'safe',
        'timeoutMs': 1500,
        'targetLatencyMs': 300,
        'attempts': 2,
        'gather': _SHARDS,
        'topK': 3,
        'minCoverage': 0.75,
    },
)
_ORDER: Final = MappingProxyType(
    {
        'name': 'order',
        'host': 'h.example',
        'prefix': '/o/',
        'routeType': 'unsafe',
        'timeoutMs': 1000,
        'targetLatencyMs': 400,
        'attempts': 2,
        'service': _ORDERS,
    },
)


_Servers = dict[str, list[PlatformServer]]


@final
@dataclass(frozen=True, slots=True)
class Failure:
    """What a request asks for, which service fails and how."""

    path: str
    service: str
    mode: ServerMode

    def begin(self, servers: _Servers) -> None:
        """Have all servers of the service fail."""
        for server in servers[self.service]:
            server.mode = self.mode


#: By the id of the request.
FAILURES: Final[Mapping[str, Failure]] = MappingProxyType(
    {
        'partial-answer': Failure('/q/x', 's2', ServerMode.MUTE),
        'refused-order': Failure('/o/x', _ORDERS, ServerMode.SHED),
        'unknown-outcome': Failure('/o/x', _ORDERS, ServerMode.LOSE),
    },
)


async def walk(folder: Path) -> dict[str, int]:
    """Play the three failures; return the status of each by its id."""
    async with Platform(_SEED, folder) as platform:
        host = platform.plan_hosts(2)[0]
        statuses = await _fail_all(host, await _start(platform))
        platform.write_logs()
    return statuses


async def _fail_all(host: str, servers: _Servers) -> dict[str, int]:
    statuses: dict[str, int] = {}
    for request_id, failure in FAILURES.items():
        failure.begin(servers)
        statuses[request_id] = await _ask(host, failure.path, request_id)
    return statuses


async def _start(platform: Platform) -> _Servers:
    """Start two servers of each service and two VMs."""
    servers = {
        service: [await platform.add_server(service) for _ in range(2)]
        for service in (*_SHARDS, _ORDERS)
    }
    platform.publish(1, [_QUERY, _ORDER])
    for number in range(2):
        await platform.start_node(number)
    await platform.until(platform.all_know_routes)
    return servers


async def _ask(host: str, path: str, request_id: str) -> int:
    headers = {
        'Host': 'h.example',
        'X-Request-Id': request_id,
        'X-Request-Deadline': '1500',
    }
    url = 'http://{0}:{1}{2}'.format(host, FRONT_PORT, path)
    async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
        answer = await client.get(url, headers=headers)
    return answer.status_code


def main() -> None:
    """Play the failures and print their timelines."""
    if len(sys.argv) > 1:
        _show(Path(sys.argv[1]))
        return
    with tempfile.TemporaryDirectory() as folder:
        _show(Path(folder))


def _show(folder: Path) -> None:
    statuses = asyncio.run(walk(folder))
    lines = [
        line for path in folder.glob('*.log') for line in read_lines(path)[0]
    ]
    for request_id, status in statuses.items():
        sys.stdout.write('\n{0}: {1}\n'.format(request_id, status))
        for line in lines_about(request_id, lines):
            if line.get('request') == request_id:
                sys.stdout.write('{0}\n'.format(say(line)))


if __name__ == '__main__':
    main()
