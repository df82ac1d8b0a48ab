"""The replicas of each service and the choice between them."""

from collections.abc import Callable, Collection, Iterator
from random import Random
from typing import Final, Generic, Protocol, TypeVar, final

from ..catalog.routes import ServiceId
from ..catalog.servers import ServerId, ServerRecord, ServerState
from .slowness import Slowness
from .throttle import Throttle

__all__ = ('Replica', 'Replicas', 'ConnectionPool')

#: A server in another data centre counts as this much slower: the way is
#: longer and bytes between data centres cost money, yet a near server that
#: works for this VM already is passed over.
_REMOTE_FACTOR: Final = 1.4
#: Times slower than usual from which a server is logged as slow, and below
#: which as usual again.
_SLOW_FROM: Final = 4.0
_USUAL_BELOW: Final = 2.0
_BLUR: Final = 0.01
_INFINITE: Final = float('inf')
#: A new connection takes a round trip and holds a slot of the server for a
#: while.  Where VMs ask seldom and each has several replicas to choose from,
#: it keeps to those that it is connected to.
_NEW_LINK_FACTOR: Final = 1.3
#: A server that has just started and says so.
_COLD_FACTOR: Final = 1.6


class ConnectionPool(Protocol):
    """Holds the connections to one server."""

    @property
    def load(self) -> int:
        """Attempts of this VM that wait for the server or are out at it."""

    @property
    def is_warm(self) -> bool:
        """Whether a connection is open and free."""

    def retire(self) -> None:
        """Send nothing more."""


Pool = TypeVar('Pool', bound=ConnectionPool)


@final
class Replica(Generic[Pool]):
    """A server as this VM sees it.

    :ivar pool: its connections.
    :ivar is_slow: whether it is taken to be slow; for the log alone, as
        the choice goes by the estimate itself.
    """

    __slots__ = (
        'cold_until_ms',
        'is_remote',
        'is_slow',
        'pool',
        'record',
        'slowness',
        'throttle',
    )

    def __init__(self, record: ServerRecord, pool: Pool, *, is_remote: bool):
        """Start with a server nothing is known of."""
        self.record = record
        self.pool = pool
        self.is_remote = is_remote
        self.is_slow = False
        self.slowness = Slowness()
        self.throttle = Throttle()
        self.cold_until_ms: float = 0

    @property
    def may_change_slow_state(self) -> bool:
        """Whether :meth:`update_slow_state` could return a change."""
        return self.is_slow or not self.slowness.is_usual

    def update_slow_state(self, now_ms: float) -> bool | None:
        """Tell whether it has just become slow, or usual again.

        :returns: nothing while it stays as it was.
        """
        ratio = self.slowness.ratio(now_ms)
        turns = ratio < _USUAL_BELOW if self.is_slow else ratio >= _SLOW_FROM
        if not turns:
            return None
        self.is_slow = not self.is_slow
        return self.is_slow

    def cost(self, now_ms: float) -> float:
        """Estimate the time of one more request; lower is better."""
        cost = (self.pool.load + 1) * self.slowness.ratio(now_ms)
        if self.is_remote:
            cost *= _REMOTE_FACTOR
        if not self.pool.is_warm:
            cost *= _NEW_LINK_FACTOR
        if now_ms < self.cold_until_ms:
            cost *= _COLD_FACTOR
        return cost


_ByService = dict[ServiceId, list[Replica[Pool]]]


@final
class Replicas(  # noqa: WPS214 -- one table, short methods
    Generic[Pool]
):
    """Every usable server by service, kept in step with the catalog."""

    def __init__(
        self,
        data_centre: str,
        make_pool: Callable[[ServerRecord], Pool],
        random: Random,
    ) -> None:
        """Start without servers.

        :param data_centre: where this VM stands.
        """
        self._data_centre = data_centre
        self._make_pool = make_pool
        self._random = random
        self._by_server: dict[ServerId, Replica[Pool]] = {}
        self._by_service: _ByService[Pool] = {}

    def __iter__(self) -> Iterator[Replica[Pool]]:
        """Go through all replicas."""
        return iter(self._by_server.values())

    def for_service(self, service: ServiceId) -> list[Replica[Pool]]:
        """List the usable replicas of a service; not to be changed."""
        return self._by_service.get(service, [])

    def replica(self, server: ServerId) -> Replica[Pool] | None:
        """Return a usable replica by its server."""
        return self._by_server.get(server)

    def update(self, record: ServerRecord, now_ms: float) -> None:
        """Take a server in, or out when it takes no new work."""
        known = self._by_server.get(record.server)
        if known is not None and _is_same_start(known.record, record):
            known.record = record
        else:
            self.drop(record.server)
            known = None
        if record.state is not ServerState.LIVE:
            self.drop(record.server)
            return
        if known is None:
            known = self._add(record)
        known.cold_until_ms = now_ms + record.warm_up_left_ms

    def drop(self, server: ServerId) -> None:
        """Send a server nothing more."""
        replica = self._by_server.pop(server, None)
        if replica is not None:
            self._by_service[replica.record.service].remove(replica)
            replica.pool.retire()

    def choose(
        self,
        service: ServiceId,
        now_ms: float,
        avoid: Collection[ServerId] = (),
        among: Collection[ServerId] | None = None,
    ) -> Replica[Pool] | None:
        """Choose the replica that should answer first; equals by lot.

        :param among: take none but these.
        """
        allowed = self._by_service.get(service, [])
        if avoid or among is not None:
            allowed = [
                replica
                for replica in allowed
                if _is_allowed(replica.record.server, avoid, among)
            ]
        best: Replica[Pool] | None = None
        least = _INFINITE
        # A loop, as this is done for each sub-request.
        for replica in allowed:
            cost = self._blurred(replica.cost(now_ms))
            if cost < least:
                best = replica
                least = cost
        return best

    def is_unresponsive(self, service: ServiceId, now_ms: float) -> bool:
        """Whether no replica of a service seems reachable."""
        return all(
            replica.throttle.is_unresponsive(now_ms)
            for replica in self._by_service.get(service, ())
        )

    def _blurred(self, cost: float) -> float:
        """Add up to a hundredth, which breaks ties and decides no more."""
        return cost * (1 + self._random.random() * _BLUR)

    def _add(self, record: ServerRecord) -> Replica[Pool]:
        replica = Replica(
            record,
            self._make_pool(record),
            is_remote=record.data_centre != self._data_centre,
        )
        self._by_server[record.server] = replica
        self._by_service.setdefault(record.service, []).append(replica)
        return replica


def _is_same_start(known: ServerRecord, record: ServerRecord) -> bool:
    return (known.service, known.host, known.port, known.started_ms) == (
        record.service,
        record.host,
        record.port,
        record.started_ms,
    )


def _is_allowed(
    server: ServerId,
    avoid: Collection[ServerId],
    among: Collection[ServerId] | None,
) -> bool:
    return server not in avoid and (among is None or server in among)
