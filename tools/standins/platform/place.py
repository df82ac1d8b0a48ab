"""A whole small platform on loopback, and gateways that run on it."""

import asyncio
import json
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from typing import Any, Final, final

from dandelionstage.gateway.clock import now_ms
from dandelionstage.lifecycle.resource_owner import ResourceOwner
from dandelionstage.operations.events import EventLog
from dandelionstage.platform.node import Node
from dandelionstage.platform.settings_file import SettingsFile

from .server import PlatformServer
from .store import Store

__all__ = ('FRONT_PORT', 'READY_PORT', 'Platform', 'boot_settings')

#: Every VM has an address of its own, so all use the same ports.
FRONT_PORT: Final = 18_104
READY_PORT: Final = 18_108
_INNER_PORTS: Final = (17_380, 17_395)
_STORE_PORT: Final = 18_102
_SERVER_PORT: Final = 18_200
_LAST_BYTE: Final = 250
_LOOK_S: Final = 0.01
#: The data centre unless another is named.
_ZONE: Final = 'a'
#: A line as logged, and the lines of each VM.
Line = dict[str, Any]
Lines = dict[str, list[Line]]


def boot_settings(
    number: int, hosts: list[str], zone: str, store: str
) -> dict[str, Any]:
    """Write the settings of one VM as the platform does."""
    host = hosts[number]
    return {
        'nodeName': 'front-{0}-{1}'.format(zone, number),
        'ip': host,
        'zone': zone,
        'listenAddrs': {
            'front': '{0}:{1}'.format(host, FRONT_PORT),
            'ready': '{0}:{1}'.format(host, READY_PORT),
            'control': '{0}:1'.format(host),
        },
        'internalPortRange': list(_INNER_PORTS),
        'seeds': ['{0}:1'.format(seed) for seed in hosts[:3]],
        'bounds': {
            'stabilityWindowMs': 4000,
            'graceS': 6,
            'retryBudgetRatio': 0.2,
            'budgetWindowS': 10,
            'retryBudgetSlack': 108,
            'warmupOvershoot': 1.5,
            'warmupSlack': 5,
        },
        'platform': {'address': store},
    }


@final
class Platform(ResourceOwner):  # noqa: WPS214 -- one place, short methods
    """A store, shards with servers, and the gateways of some VMs.

    :ivar lines: what the gateways logged, by VM.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        """Choose addresses on loopback by the seed."""
        self._random = Random(seed)
        self._network = '127.{0}.{1}'.format(
            self._random.randint(1, _LAST_BYTE),
            self._random.randint(1, _LAST_BYTE),
        )
        self._folder = folder
        self._hosts: list[str] = []
        self._routes: Sequence[Mapping[str, Any]] = ()
        self._stack = AsyncExitStack()
        store_host = '{0}.250'.format(self._network)
        self.store_address = '{0}:{1}'.format(store_host, _STORE_PORT)
        self.store = Store(store_host, _STORE_PORT)
        self.servers: dict[str, PlatformServer] = {}
        self.lines: Lines = {}

    async def add_server(
        self, service: str, zone: str = _ZONE
    ) -> PlatformServer:
        """Start a server and list it in the store."""
        number = len(self.servers) + 1
        name = 'i-{0}'.format(number)
        host = '{0}.{1}'.format(self._network, 100 + number)
        server = PlatformServer(name, (host, _SERVER_PORT))
        await self._stack.enter_async_context(server)
        self.servers[name] = server
        self.store.put('servers/{0}'.format(name), server.entry(service, zone))
        return server

    def publish(
        self,
        version: int,
        routes: Sequence[Mapping[str, Any]],
        **of_services: float,
    ) -> None:
        """Write a configuration with a service for each name used.

        :param of_services: further fields of every service.
        """
        named = {name for route in routes for name in _services(route)}
        self._routes = routes
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': [dict(route) for route in routes],
                'services': [
                    {'name': name, 'maxConnections': 50, **of_services}
                    for name in sorted(named)
                ],
                'limits': {'idleTimeoutMs': 15000, 'headerTimeoutMs': 1000},
            },
        )

    def publish_warm_up(
        self, version: int, warm_up_s: float, per_s: float
    ) -> None:
        """Write the routes again, and how servers warm up."""
        self.publish(version, self._routes, warmupS=warm_up_s, warmupPerS=per_s)

    def plan_hosts(self, count: int) -> list[str]:
        """Choose the addresses of the VMs before any is started."""
        self._hosts = [
            '{0}.{1}'.format(self._network, number + 1)
            for number in range(count)
        ]
        return self._hosts

    async def start_node(self, number: int, zone: str = _ZONE) -> Node:
        """Start the gateway of one VM in this process."""
        node = self.make_node(number, zone)
        await self._stack.enter_async_context(node)
        return node

    def make_node(self, number: int, zone: str = _ZONE) -> Node:
        """Build the gateway of one VM."""
        path = self.write_settings(number, zone)
        settings_file = SettingsFile(str(path))
        lines = self.lines.setdefault(settings_file.settings.node_name, [])
        log = EventLog(
            lambda pending: _keep(lines, pending),
            now_ms,
            vm=settings_file.settings.node_name,
        )
        return Node(settings_file, log, Random(self._random.random()))

    def write_settings(
        self, number: int, zone: str = _ZONE, store: str | None = None
    ) -> Path:
        """Write the settings file of one VM.

        :param store: where it reaches the store, if not directly.
        """
        # Named by the address: several platforms may share a folder, and a VM
        # that read the settings of another one would join its fleet.
        path = self._folder / 'boot-{0}.json'.format(self._hosts[number])
        settings = boot_settings(
            number, self._hosts, zone, store or self.store_address
        )
        path.write_text(json.dumps(settings))
        return path

    def write_logs(self) -> None:
        """Write what each gateway logged to a file of its own."""
        for vm, lines in self.lines.items():
            path = self._folder / '{0}.log'.format(vm)
            path.write_text('\n'.join(map(json.dumps, lines)))

    def all_know_routes(self) -> bool:
        """Whether every gateway has logged that routes are in force."""
        kinds = [{line['event'] for line in own} for own in self.lines.values()]
        return all('routes_in_force' in known for known in kinds)

    async def until(self, condition: Any, timeout_s: float = 10) -> None:
        """Wait until something holds.

        :raises TimeoutError: when it does not in time.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(_LOOK_S)

    async def _open(self, stack: AsyncExitStack) -> None:
        await stack.enter_async_context(self._stack)
        await self._stack.enter_async_context(self.store)


def _services(route: Mapping[str, Any]) -> list[str]:
    named = [route.get('service'), *route.get('gather', ())]
    split = route.get('trafficSplit', ())
    named.extend(each['service'] for each in split)
    return list(filter(None, named))


def _keep(lines: list[Line], pending: bytes) -> int:
    lines.extend(map(json.loads, pending.splitlines()))
    return len(pending)
