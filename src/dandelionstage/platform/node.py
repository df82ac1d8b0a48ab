"""One VM on the platform: the gateway, its sources and its end."""

import asyncio
import os
from collections.abc import Callable
from contextlib import AsyncExitStack
from random import Random
from types import TracebackType
from typing import Final, Self, final

from ..catalog.catalog import Catalog
from ..catalog.routes import CallerLimits, RouteTable
from ..catalog.servers import ServerRecord
from ..gateway.callers import CallerPort
from ..gateway.clock import now_ms
from ..gateway.ending import EndLimits, Ending
from ..gateway.gateway import Gateway
from ..gateway.pacing import Pacing
from ..gateway.requests import Answer
from ..gateway.server_pool import ServerPool
from ..gateway.status_port import StatusPort
from ..gateway.tools import RouteTimes, RunTools
from ..model.ids import VmId
from ..operations.events import EventLog
from ..placing.allowance import links_allowed
from ..placing.extra_budget import ExtraBudgets
from ..placing.replicas import Replicas
from ..spread.members import Address
from ..spread.node import SpreadNode
from .documents import Interpreter
from .names import HEADERS, READY_TARGET
from .settings import BootSettings, SettingsError, read_settings
from .store_client import StoreClient
from .store_reader import StoreReader

__all__ = ('Node',)

#: How often the settings file is looked at; it may change without a signal.
_LOOK_S: Final = 2.0
#: A watch is given up this long after it should have returned, and the next
#: one asks for what was missed.
_NOTICE_MS: Final = 1000.0
_MS_PER_S: Final = 1000.0
_READY: Final = Answer(200)
_NOT_READY: Final = Answer(503)


@final
class Node:
    """Everything that one process owns."""

    def __init__(
        self,
        settings: BootSettings,
        path: str,
        log: EventLog,
        random: Random,
    ) -> None:
        """Build the parts; nothing is opened before the node is entered."""
        self._settings = settings
        self._path = path
        self._log = log
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self._catalog = Catalog(Interpreter(log))
        self._spread = SpreadNode(
            _inner_address(settings, settings.ip),
            settings.zone,
            self._catalog,
            log,
            random,
        )
        members = self._spread.members
        self._budgets = ExtraBudgets(settings.budget_terms, members.__len__)
        self._replicas = Replicas(settings.zone, self._make_pool, random)
        self._tools = RunTools(
            replicas=self._replicas,
            budgets=self._budgets,
            times=RouteTimes(),
            names=HEADERS,
            log=log,
            now_ms=now_ms,
            call_later=_call_later,
            random=random,
        )
        gateway = Gateway(self._catalog, self._tools, Pacing())
        self._callers = CallerPort(
            _host_and_port(settings.listen_addrs.front),
            HEADERS,
            self._caller_limits,
            gateway.handle,
        )
        self._ending = Ending(self._callers, EndLimits(), log)
        self._client = StoreClient(*_host_and_port(settings.platform.address))
        self._reader = StoreReader(
            self._client, self._catalog, members, log, random
        )

    async def __aenter__(self) -> Self:
        """Open the ports and follow the sources."""
        self._catalog.on_server.append(self._keep_server)
        self._catalog.on_gone.append(self._replicas.drop)
        self._catalog.on_routes.append(self._note_routes)
        self._reader.on_news = self._spread.tell_news
        self._reader.watch_ms = _watch_ms(self._settings)
        self._use_seeds(self._settings)
        ready = StatusPort(
            _host_and_port(self._settings.listen_addrs.ready),
            {READY_TARGET: self._answer_ready},
        )
        for owner in (self._client, self._spread, ready, self._callers):
            await self._stack.enter_async_context(owner)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._reader.run()),
            loop.create_task(self._watch_settings()),
        ]
        self._log.event(
            'started',
            data_centre=self._settings.zone,
            callers=self._settings.listen_addrs.front,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await self._stack.aclose()
        self._log.event('stopped')
        self._log.flush()

    def stop(self) -> None:
        """Begin to stop; the callers' requests are finished first."""
        self._log.event('stop_asked', in_progress=self._callers.in_progress)
        self._spread.leave()
        self._ending.begin()

    async def stopped(self) -> None:
        """Wait until a stop is done."""
        await self._ending.done()

    def reload(self) -> None:
        """Read the settings file again; keep the old if it is at fault."""
        try:
            settings = read_settings(self._path)
        except SettingsError as fault:
            self._log.event('settings_refused', fault=str(fault))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._budgets.use_terms(settings.budget_terms)
        self._use_seeds(settings)
        self._reader.watch_ms = _watch_ms(settings)
        self._log.event('settings_reloaded')

    async def _watch_settings(self) -> None:
        known_ns = self._changed_ns()
        while True:
            await asyncio.sleep(_LOOK_S)
            changed_ns = self._changed_ns()
            if changed_ns != known_ns:
                known_ns = changed_ns
                self.reload()

    def _changed_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError as error:
            self._log.event('settings_gone', fault=str(error))
            return 0

    def _use_seeds(self, settings: BootSettings) -> None:
        self._spread.use_seeds(
            _inner_address(settings, _host_and_port(seed)[0])
            for seed in settings.seeds
        )

    def _make_pool(self, record: ServerRecord) -> ServerPool:
        return ServerPool(record, HEADERS, lambda: self._links_for(record))

    def _links_for(self, record: ServerRecord) -> int:
        routes = self._catalog.routes
        service = routes.services.get(record.service) if routes else None
        accepted = service.max_connections if service else 0
        return links_allowed(accepted, len(self._spread.members))

    def _keep_server(self, record: ServerRecord) -> None:
        self._log.event(
            'server_listed',
            server=record.server,
            service=record.service,
            state=record.state.value,
            warm_up_left_ms=record.warm_up_left_ms,
        )
        self._replicas.keep(record, now_ms())

    def _note_routes(self, routes: RouteTable) -> None:
        self._log.event(
            'routes_in_force', version=routes.version, routes=len(routes)
        )

    def _caller_limits(self) -> CallerLimits:
        routes = self._catalog.routes
        return routes.limits if routes else CallerLimits()

    def _answer_ready(self) -> Answer:
        is_ready = self._catalog.usable and not self._ending.has_begun
        return _READY if is_ready else _NOT_READY


def _watch_ms(settings: BootSettings) -> int:
    """Notice a watch that is lost before the store counts as stable."""
    window_ms = settings.bounds.stability_window_ms
    return int(max(window_ms - _NOTICE_MS, window_ms / 2))


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _inner_address(settings: BootSettings, host: str) -> Address:
    """All VMs talk to each other on the first of the free ports."""
    first_port = settings.internal_port_range[0]
    return Address(VmId('{0}:{1}'.format(host, first_port)))


def _call_later(
    wait_ms: float, action: Callable[[], None]
) -> asyncio.TimerHandle:
    loop = asyncio.get_running_loop()
    return loop.call_later(wait_ms / _MS_PER_S, action)
