"""The gateway process of one VM: its components, startup and shutdown."""

import asyncio
from contextlib import AsyncExitStack
from functools import partial
from random import Random
from typing import Final, final

from ..catalog.routes import CallerLimits, RouteTable
from ..catalog.servers import ServerId, ServerRecord, ServerStart
from ..gateway.caller_listener import CallerListener
from ..gateway.attempt import Attempt, Reply
from ..gateway.clock import call_later, now_ms
from ..gateway.delivery_times import DeliveryTimes
from ..gateway.gateway import Gateway
from ..gateway.outcomes import is_misdirected, is_success
from ..gateway.read_limits import LimitExceeded, ReadBudget
from ..gateway.request_schedule import LagEstimate, NetworkMargins
from ..gateway.run_context import Pool, RouteResponseTimes, RunContext
from ..gateway.server_pool import PoolCallbacks, ServerPool
from ..gateway.server_use import ServerStatements, ServerUse
from ..gateway.shutdown import Shutdown, ShutdownLimits
from ..gateway.status_listener import StatusListener
from ..lifecycle.resource_owner import ResourceOwner
from ..model.ids import VmId
from ..operations.events import EventLog
from ..operations.supervision import start_supervised
from ..placing.connection_limit import max_connections_per_vm
from ..placing.fleet_retry_budget import FleetRetryBudgets
from ..placing.quiet_servers import QuietServers
from ..placing.replicas import Replicas
from ..placing.shard_choice import is_unservable
from ..placing.slow_server_reports import (
    SlowServer,
    apply_slow_reports,
    list_slow_servers,
)
from ..relaying.relay_listener import RelayListener
from ..relaying.relay_pool import RelayPool
from ..relaying.relay_vm import RelayContext
from ..spread.frames import host_and_port
from ..spread.members import Address
from .isolation_check import IsolationCheck
from .names import HEADERS, METRICS_PORT, METRICS_TARGET, READY_TARGET
from .settings import BootSettings
from .settings_file import SettingsFile
from .sources import CatalogSources
from .status_pages import StatusPages
from .store_client import StoreClient

__all__ = ('Node',)

_MS_PER_S: Final = 1000.0
#: Changed limits and servers that leave are announced together after this time.
_ANNOUNCEMENT_DELAY_MS: Final = 50.0
#: A quiet time that ends this much later than the one known is logged; a server
#: that refuses several requests at a time asks for it in each reply.
_QUIET_NEWS_MS: Final = 50.0


@final
class Node(  # noqa: WPS214 -- connects the components of one process
    ResourceOwner
):
    """Owns all components of one gateway process."""

    def __init__(
        self, settings_file: SettingsFile, log: EventLog, random: Random
    ) -> None:
        """Create the components; entering the node opens them."""
        settings = settings_file.settings
        self._settings_file = settings_file
        self._log = log
        self._sources = CatalogSources(settings, log, random)
        members = self._sources.spread.members
        self._budgets = FleetRetryBudgets(
            settings.retry_budget_limits,
            members.__len__,
            self._sources.spread.loans,
        )
        self._replicas: Replicas[Pool] = Replicas(
            settings.zone, self._make_pool, random
        )
        self._quiet = QuietServers()
        self._server_use = ServerUse(
            self._sources.catalog,
            self._replicas,
            ServerStatements(
                self._sources.spread.leaving,
                self._sources.spread.limits,
                self._quiet,
            ),
            settings.cold_tolerance,
            log,
            now_ms,
        )
        self._announcement: asyncio.TimerHandle | None = None
        # One for each side, so that servers do not displace callers.
        self._reply_budget = ReadBudget(settings.unfinished_bytes)
        self._request_budget = ReadBudget(settings.request_bytes)
        relay_budget = ReadBudget(settings.unfinished_bytes)
        self._isolation = IsolationCheck(
            StoreClient(*host_and_port(settings.platform.address)),
            self._sources.spread,
            self._replicas,
            log,
        )
        self._relays = RelayPool(
            self._sources.own_vm,
            self._list_local_vms,
            self._relay_address_of,
            RelayContext(
                now_ms,
                call_later,
                log,
                relay_budget,
                self._sources.spread.deadly,
            ),
        )
        tools = RunContext(
            replicas=self._replicas,
            budgets=self._budgets,
            response_times=RouteResponseTimes(),
            answer_lag=LagEstimate(),
            delivery_times=DeliveryTimes(),
            header_names=HEADERS,
            log=log,
            now_ms=now_ms,
            call_later=call_later,
            random=random,
            relays=self._relays,
            deadly=self._sources.spread.deadly,
        )
        self._callers = CallerListener(
            host_and_port(settings.listen_addrs.front),
            HEADERS,
            self._caller_limits,
            Gateway(
                self._sources.catalog,
                tools,
                NetworkMargins(),
                self._late_left_ms,
            ).handle,
            tools.delivery_times,
            self._request_budget,
            self._sends_callers_elsewhere,
            settings.caller_connections,
        )
        self._callers.on_pause = self._log_pause
        grace_ms = settings.bounds.grace_s * _MS_PER_S
        self._shutdown = Shutdown(
            self._callers, ShutdownLimits.within(grace_ms), log
        )
        self._relay_listener = RelayListener(
            settings.relay_address(settings.ip),
            tools,
            self._callers.unread_ms,
            lambda: not self._shutdown.has_begun,
            relay_budget,
        )

    def stop(self) -> None:
        """Begin the shutdown; requests in progress are finished first."""
        self._log.event('stop_asked', in_progress=self._callers.in_progress)
        self._sources.spread.leave()
        self._shutdown.begin()

    async def wait_stopped(self) -> None:
        """Wait until the shutdown is complete."""
        await self._shutdown.wait_finished()

    def reload(self) -> None:
        """Read the settings file again."""
        self._settings_file.reload(self._log, self._apply_settings)

    def _log_pause(self, pause_ms: float) -> None:
        self._log.event('process_paused', pause_ms=pause_ms)

    def _late_left_ms(self) -> float:
        return self._shutdown.late_left_ms

    async def _open(self, stack: AsyncExitStack) -> None:
        settings = self._settings_file.settings
        self._register_callbacks()
        stack.callback(self._log.flush)
        stack.callback(self._log.event, 'stopped')
        owners = (
            self._sources,
            self._relays,
            self._relay_listener,
            *self._make_status_listeners(),
            self._callers,
        )
        for owner in owners:
            await stack.enter_async_context(owner)
        reload_task = start_supervised(
            'settings',
            partial(
                self._settings_file.reload_on_change,
                self._log,
                self._apply_settings,
            ),
            self._log,
        )
        stack.callback(reload_task.cancel)
        isolation_task = start_supervised(
            'isolation check', self._isolation.run, self._log
        )
        stack.callback(isolation_task.cancel)
        self._log.event(
            'started',
            data_centre=settings.zone,
            callers=settings.listen_addrs.front,
        )

    def _sends_callers_elsewhere(self) -> bool:
        """Whether callers are better served by another data centre."""
        routes = self._sources.catalog.routes
        return (
            self._isolation.is_cut_off
            and routes is not None
            and any(
                route.gather is not None
                and is_unservable(route.gather, self._replicas)
                for route in routes
            )
        )

    def _register_callbacks(self) -> None:
        """Register the callbacks between the catalog, gossip and budgets."""
        self._sources.catalog.on_routes.append(self._log_routes)
        spread = self._sources.spread
        spread.list_slow_servers = lambda: list_slow_servers(
            self._replicas, now_ms()
        )
        spread.limits.on_change = self._change_limit
        spread.leaving.on_told = self._drop_told
        spread.permits.find_seeker = self._find_pool
        spread.apply_slow_reports = self._apply_slow_reports
        spread.lend = lambda borrower, asked_ms: self._budgets.lend(
            borrower, asked_ms, now_ms()
        )

    def _apply_settings(self, settings: BootSettings) -> None:
        self._budgets.apply_limits(settings.retry_budget_limits)
        self._server_use.cold_tolerance = settings.cold_tolerance
        self._sources.apply_settings(settings)

    def _make_status_listeners(self) -> tuple[StatusListener, StatusListener]:
        settings = self._settings_file.settings
        pages = StatusPages(
            self._sources,
            self._callers,
            self._log,
            lambda: self._shutdown.has_begun or self._sends_callers_elsewhere(),
        )
        return (
            StatusListener(
                host_and_port(settings.listen_addrs.ready),
                {READY_TARGET: pages.ready},
            ),
            StatusListener(
                (settings.ip, METRICS_PORT), {METRICS_TARGET: pages.metrics}
            ),
        )

    def _make_pool(self, record: ServerRecord) -> ServerPool:
        return ServerPool(
            record,
            HEADERS,
            lambda: self._connection_limit(record),
            self._reply_budget,
            PoolCallbacks(
                lambda exceeded: self._log_limit(record, exceeded),
                partial(self._observe_reply, record),
                self._sources.spread.permits.request,
                lambda: self._server_use.limit_returned(record.server),
            ),
        )

    def _observe_reply(
        self, record: ServerRecord, attempt: Attempt, reply: Reply
    ) -> None:
        """Record what a reply says of the server, also if it is a failure."""
        if is_misdirected(reply):
            # Another server has taken the address.
            return
        if reply.is_leaving and self._sources.spread.leaving.add(record.start):
            self._log.event(
                'server_leaving',
                server=record.server,
                service=record.service,
                evidence='reply',
                request=attempt.request_id.decode('latin-1'),
                status=reply.status,
            )
            self._drop_start(record.start)
            self._announce_soon()
        if reply.quiet_ms:
            self._keep_quiet(record, attempt, reply.quiet_ms)
        if reply.limit_per_s is not None:
            self._sources.spread.limits.observe_limit(
                record, reply.limit_per_s, now_ms()
            )
        elif attempt.sent_ms is not None and is_success(reply):
            self._sources.spread.limits.observe_no_limit(
                record, attempt.sent_ms, now_ms()
            )

    def _keep_quiet(
        self, record: ServerRecord, attempt: Attempt, quiet_ms: float
    ) -> None:
        """Send nothing to a server for a time, as it has asked for that."""
        until_ms = now_ms() + quiet_ms
        if self._quiet.add(record.start, until_ms) >= _QUIET_NEWS_MS:
            self._log.event(
                'server_quiet',
                server=record.server,
                service=record.service,
                request=attempt.request_id.decode('latin-1'),
                quiet_ms=round(quiet_ms),
            )
        pool = self._find_pool(record.server)
        if pool is not None and pool.record.start == record.start:
            pool.rest(until_ms)

    def _change_limit(
        self,
        start: ServerStart,
        per_s: float,
        is_own: bool,  # noqa: FBT001 -- a callback
    ) -> None:
        self._log.event(
            'server_limit' if per_s else 'server_limit_ended',
            server=start[0],
            per_s=per_s,
            evidence='reply' if is_own else 'told',
        )
        if is_own:
            self._announce_soon()
        pool = self._find_pool(start[0])
        if pool is not None and pool.record.started_ms == start[1]:
            pool.limit.change(per_s)
            pool.send_permitted()

    def _drop_told(self, start: ServerStart) -> None:
        self._log.event('server_leaving', server=start[0], evidence='told')
        self._drop_start(start)
        self._announce_soon()

    def _drop_start(self, start: ServerStart) -> None:
        """Send nothing more to a server, unless it has started again."""
        replica = self._replicas.replica(start[0])
        if replica is not None and replica.record.start == start:
            self._replicas.drop(start[0])

    def _announce_soon(self) -> None:
        """Tell other VMs soon, once for all that changes meanwhile."""
        if self._announcement is None:
            self._announcement = call_later(
                _ANNOUNCEMENT_DELAY_MS, self._send_announcement
            )

    def _send_announcement(self) -> None:
        self._announcement = None
        self._sources.spread.announce_changes()

    def _find_pool(self, server: ServerId) -> ServerPool | None:
        replica = self._replicas.replica(server)
        pool = replica.pool if replica else None
        return pool if isinstance(pool, ServerPool) else None

    def _log_limit(self, record: ServerRecord, exceeded: LimitExceeded) -> None:
        self._log.event(
            'reply_limit_exceeded',
            server=record.server,
            service=record.service,
            limit=exceeded.limit.value,
            size=exceeded.size,
        )

    def _connection_limit(self, record: ServerRecord) -> int:
        service = self._server_use.service_of(record)
        accepted = service.max_connections if service else 0
        return max_connections_per_vm(
            accepted, len(self._sources.spread.members)
        )

    def _list_local_vms(self) -> list[Address]:
        """List the other live VMs of this data centre."""
        return self._sources.spread.members.same_data_centre(now_ms())

    def _relay_address_of(self, vm: VmId) -> tuple[str, int]:
        settings = self._settings_file.settings
        return settings.relay_address(host_and_port(vm)[0])

    def _apply_slow_reports(self, reports: list[SlowServer]) -> None:
        for server, ratio in apply_slow_reports(
            self._replicas, reports, now_ms()
        ):
            self._log.event(
                'server_slow', server=server, ratio=ratio, evidence='told'
            )

    def _log_routes(self, routes: RouteTable) -> None:
        self._log.event(
            'routes_in_force', version=routes.version, routes=len(routes)
        )

    def _caller_limits(self) -> CallerLimits:
        routes = self._sources.catalog.routes
        return routes.limits if routes else CallerLimits()
