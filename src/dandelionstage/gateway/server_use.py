"""Keeps the replicas in line with entries, replies and orders of operators."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

from ..catalog.catalog import Catalog
from ..catalog.evacuations import EvacuationOrder
from ..catalog.leaving_servers import LeavingServers
from ..catalog.routes import RouteTable, Service, ServiceId
from ..catalog.servers import ServerId, ServerRecord
from ..operations.events import EventLog
from ..placing.quiet_servers import QuietServers
from ..placing.replicas import Replica, Replicas
from ..placing.server_limits import ServerLimits
from ..placing.shard_groups import is_split
from ..placing.warm_up import AssumedWarmUps, ColdTolerance
from .run_context import Pool

__all__ = ('ServerStatements', 'ServerUse')

_NO_RATE: Final = 0


@final
@dataclass(frozen=True, slots=True)
class ServerStatements:
    """What servers have said of themselves in replies.

    :ivar leaving: servers that take no new work although they are listed.
    :ivar limits: limits on requests that servers have named.
    :ivar quiet: servers that asked this VM to send them nothing for a time.
    """

    leaving: LeavingServers
    limits: ServerLimits
    quiet: QuietServers


@final
class ServerUse:  # noqa: WPS214 -- one method for each change
    """Decides which listed servers are used, and how far.

    Whatever reports a change, a server that is to get nothing more has no
    replica, so that every sender passes it over.  Limits and quiet times are
    kept in the pool of the replica.

    :ivar cold_tolerance: by how much cold servers bear more than their rate.
    """

    def __init__(  # noqa: WPS211 -- one for each collaborator
        self,
        catalog: Catalog,
        replicas: Replicas[Pool],
        statements: ServerStatements,
        cold_tolerance: ColdTolerance,
        log: EventLog,
        now_ms: Callable[[], float],
    ) -> None:
        """Store the arguments and register for changes of the catalog."""
        self.cold_tolerance = cold_tolerance
        self._catalog = catalog
        self._replicas = replicas
        self._statements = statements
        self._log = log
        self._now_ms = now_ms
        self._warm_ups = AssumedWarmUps()
        self._shared_services: frozenset[ServiceId] = frozenset()
        catalog.on_server_updated.append(self._update)
        catalog.on_server_removed.append(self._remove)
        catalog.on_evacuation.append(self._apply_evacuation)
        catalog.on_routes.append(self._apply_cold_limits)
        catalog.on_routes.append(self._learn_paces)

    def service_of(self, record: ServerRecord) -> Service | None:
        """Return the published service of a server, if any."""
        routes = self._catalog.routes
        return routes.services.get(record.service) if routes else None

    def limit_returned(self, server: ServerId) -> None:
        """Limit a server that accepts connections after it accepted none.

        It may have started again, and its entry says so only later.
        """
        replica = self._replicas.replica(server)
        if replica is None:
            return
        service = self.service_of(replica.record)
        if service is not None and service.cold_per_s:
            self._assume_cold(replica.record)
            replica.warm_up(self._now_ms(), service.warm_up_ms)
            self._limit_cold(replica)

    def _update(self, published: ServerRecord) -> None:
        record = self._statements.leaving.applied_to(published)
        self._log.event(
            'server_listed',
            server=record.server,
            service=record.service,
            data_centre=record.data_centre,
            state=record.state.value,
            warm_up_left_ms=record.warm_up_left_ms,
        )
        self._use(record)

    def _remove(self, server: ServerId) -> None:
        self._log.event('server_gone', server=server)
        self._replicas.drop(server)

    def _use(self, listed: ServerRecord) -> None:
        """Use a listed server as far as it may be sent to."""
        at_ms = self._now_ms()
        record = self._catalog.evacuations.applied_to(listed)
        self._replicas.update(
            record, at_ms, self._warm_ups.left_ms(record.start, at_ms)
        )
        replica = self._replicas.replica(record.server)
        if replica is not None:
            self._learn_pace(replica)
            limit = replica.pool.limit
            limit.rest(self._statements.quiet.until_ms(record.start))
            limit.change(self._statements.limits.per_s(record))
            self._limit_cold(replica)

    def _apply_evacuation(self, order: EvacuationOrder) -> None:
        """Send nothing more to a data centre, or to its servers again."""
        servers = [
            self._statements.leaving.applied_to(record)
            for record in self._catalog.servers.values()
            if record.data_centre == order.data_centre
        ]
        self._log.event(
            'data_centre_evacuated'
            if order.is_in_force
            else 'evacuation_ended',
            data_centre=order.data_centre,
            servers=len(servers),
            evacuated=list(self._catalog.evacuations),
        )
        for record in servers:
            if not order.is_in_force:
                self._assume_cold(record)
            self._use(record)

    def _assume_cold(self, record: ServerRecord) -> None:
        """Take a server for cold as long as its service says."""
        service = self.service_of(record)
        if service is not None and service.warm_up_ms:
            until_ms = self._now_ms() + service.warm_up_ms
            self._warm_ups.begin(record.start, until_ms)

    def _apply_cold_limits(self, _: RouteTable) -> None:
        """Apply the rates that a new version names for cold servers."""
        for replica in self._replicas:
            self._limit_cold(replica)

    def _learn_paces(self, routes: RouteTable) -> None:
        """Learn how fast the servers work that split queries go to.

        One VM of the data centre gets most of what such a server is asked by
        the data centre, so that it sees enough of the answers.
        """
        self._shared_services = frozenset(
            service
            for route in routes
            if route.gather and is_split(route.gather.shards)
            for service in route.gather.shards
        )
        for replica in self._replicas:
            self._learn_pace(replica)

    def _learn_pace(self, replica: Replica[Pool]) -> None:
        replica.learn_pace(
            is_wanted=replica.record.service in self._shared_services
        )

    def _limit_cold(self, replica: Replica[Pool]) -> None:
        """Limit a cold server to the rate that its service names, if any."""
        left_ms = replica.cold_until_ms - self._now_ms()
        if left_ms <= 0:
            return
        service = self.service_of(replica.record)
        per_s = service.cold_per_s if service else _NO_RATE
        if not per_s:
            return
        permitted_per_s = self.cold_tolerance.permitted_per_s(per_s)
        if not replica.pool.limit.cold_per_s:
            self._log.event(
                'server_cold',
                server=replica.record.server,
                service=replica.record.service,
                per_s=per_s,
                permitted_per_s=round(permitted_per_s, 2),
                left_ms=round(left_ms),
            )
        replica.pool.warm_up(permitted_per_s, replica.cold_until_ms)
