"""What a soak runs on: the stand-in platform, VMs and the proxies between."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, Final, final

from dandelionstage.gateway.clock import now_ms
from dandelionstage.lifecycle.resource_owner import ResourceOwner
from tools.standins.platform.place import Platform
from tools.standins.platform.server import PlatformServer

from .proxy import Proxy
from .stalls import Stalls
from .vms import Vm

__all__ = ('LEAST_COVERAGE', 'ORDERS', 'Place')

ORDERS: Final = 'orders'
LEAST_COVERAGE: Final = 0.6
_WORK_MS: Final = (1.0, 15.0)
_FEW_SHARDS: Final = 6
#: Queries over so many are shared between VMs.
_MANY_SHARDS: Final = 42
_REPLICAS: Final = 2
_ZONES: Final = ('a', 'b')
_PROXY_PORT: Final = 18_300
_STORE_PORT: Final = 18_102


def _route(name: str, kind: str, **more: object) -> dict[str, Any]:
    return {
        'name': name,
        'host': 'h.example',
        'prefix': '/{0}/'.format(name),
        'routeType': kind,
        'timeoutMs': 1000,
        'targetLatencyMs': 150,
        'attempts': 2,
        **more,
    }


@final
class Place(ResourceOwner):  # noqa: WPS214 -- one place, short methods
    """Everything a soak may disturb, and when it changed.

    :ivar servers: in use, by id; ``service_of`` has those of before too.
    :ivar published_ms: when each version of the routes was written.
    :ivar sets: the shards of each version.
    :ivar drained_ms: when a server was said to be leaving.
    :ivar announced_ms: when a server that is still listed began to say in its
        replies that it is leaving.
    :ivar zone_of: data centre of each server.
    :ivar evacuated_ms: data centres that were evacuated, from when and until
        when the order stood.
    :ivar spoiled_ways: servers whose connections were disturbed.
    :ivar store_spells: spells in which the store was disturbed.
    :ivar stalls: when the soak itself stood still.
    """

    def __init__(self, seed: int, folder: Path, vm_count: int) -> None:
        """Prepare; nothing runs before the place is entered.

        Odd seeds have queries over many shards.
        """
        count = _MANY_SHARDS if seed % 2 else _FEW_SHARDS
        self._shards = tuple('s{0}'.format(number) for number in range(count))
        self.random = Random(seed)
        self.platform = Platform(seed, folder)
        self.vms: list[Vm] = []
        self.servers: dict[str, PlatformServer] = {}
        self.proxies: dict[str, Proxy] = {}
        self.store_ways: list[Proxy] = []
        self.service_of: dict[str, str] = {}
        self.published_ms: list[float] = []
        self.sets: list[tuple[str, ...]] = []
        self.drained_ms: dict[str, float] = {}
        self.announced_ms: dict[str, float] = {}
        self.zone_of: dict[str, str] = {}
        self.evacuated_ms: list[tuple[str, float, float]] = []
        self.spoiled_ways: set[str] = set()
        self.store_spells: list[tuple[float, float]] = []
        self.stalls = Stalls()
        self._vm_count = vm_count
        self._is_evacuating = False
        self._stack = AsyncExitStack()

    async def add_server(self, service: str) -> None:
        """Start a server behind a proxy and list it."""
        zone = self.random.choice(_ZONES)
        server = await self.platform.add_server(service, zone)
        host = server.address.rsplit(':', 1)[0]
        proxy = Proxy((host, _PROXY_PORT), server.address)
        await self._stack.enter_async_context(proxy)
        self.service_of[server.server] = service
        self.zone_of[server.server] = zone
        self.servers[server.server] = server
        self.proxies[server.server] = proxy
        server.work_ms = self.random.uniform(*_WORK_MS)
        self._list(server, zone, 'ready')

    async def replace_server(self, name: str) -> None:
        """Start another server and let this one leave."""
        server = self.servers.pop(name)
        self.proxies.pop(name)
        await self.add_server(self.service_of[name])
        self._list(server, 'a', 'draining')
        self.drained_ms[name] = now_ms()

    async def evacuate(self, for_s: float) -> None:
        """Order that nothing be sent to one data centre, unless one is."""
        zone = _ZONES[0]
        key = 'op/evacuate/{0}'.format(zone)
        if self._is_evacuating:
            return
        self._is_evacuating = True
        self.platform.store.put(key, {})
        began_ms = now_ms()
        await asyncio.sleep(for_s)
        self.evacuated_ms.append((zone, began_ms, now_ms()))
        self.platform.store.remove(key)
        self._is_evacuating = False

    async def announce_leaving(self, name: str) -> None:
        """Start another server; this one says in its replies that it leaves."""
        server = self.servers.pop(name)
        self.proxies.pop(name)
        await self.add_server(self.service_of[name])
        server.is_leaving = True
        self.announced_ms[name] = now_ms()

    @property
    def has_relays(self) -> bool:
        """Whether queries are shared between VMs."""
        return len(self._shards) == _MANY_SHARDS

    def publish(self) -> None:
        """Write the next version, with a route that is new in it."""
        version = len(self.published_ms) + 1
        # Each version leaves out the last shard that the one before it had.
        shards = self._shards[: len(self._shards) - version % 2]
        query = _route(
            'q', 'safe', gather=shards, topK=10, minCoverage=LEAST_COVERAGE
        )
        order = _route('o', 'unsafe', service=ORDERS)
        markers = [
            _route('m{0}'.format(number), 'safe', service=ORDERS)
            for number in range(1, version + 1)
        ]
        self.sets.append(shards)
        self.platform.publish(version, [query, order, *markers])
        self.published_ms.append(now_ms())

    def service(self, server: str) -> str:
        """Return the service of a server that exists or existed."""
        return self.service_of[server]

    async def _open(self, stack: AsyncExitStack) -> None:
        watch = asyncio.get_running_loop().create_task(self.stalls.run())
        stack.callback(watch.cancel)
        await stack.enter_async_context(self.platform)
        await stack.enter_async_context(self._stack)
        for service in (*self._shards, ORDERS):
            for _ in range(_REPLICAS):
                await self.add_server(service)
        self.publish()
        for number, host in enumerate(self.platform.plan_hosts(self._vm_count)):
            await stack.enter_async_context(self._add_vm(number, host))

    @asynccontextmanager
    async def _add_vm(self, number: int, host: str) -> AsyncIterator[None]:
        way = Proxy((host, _STORE_PORT), self.platform.store_address)
        zone = _ZONES[number % len(_ZONES)]
        settings = self.platform.write_settings(number, zone, way.address)
        vm = Vm(host, settings)
        self.store_ways.append(way)
        self.vms.append(vm)
        async with way, vm:
            yield

    def _list(self, server: PlatformServer, zone: str, state: str) -> None:
        entry = server.entry(
            self.service_of[server.server],
            zone,
            state=state,
            address=self.proxies[server.server].address
            if server.server in self.proxies
            else server.address,
        )
        self.platform.store.put('servers/{0}'.format(server.server), entry)
