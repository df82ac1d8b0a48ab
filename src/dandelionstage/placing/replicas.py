"""Replicas of each service and the selection of one for a request."""

from collections.abc import Callable, Collection, Iterator
from random import Random
from typing import Final, Generic, Protocol, TypeVar, final

from ..catalog.routes import ServiceId
from ..catalog.servers import ServerId, ServerRecord, ServerState
from .queue_delay import QueueDelay
from .send_limit import SendLimit
from .server_pace import ServerPace
from .slowness import Slowness
from .throttle import Throttle

__all__ = ('ConnectionPool', 'Replica', 'Replicas')

#: Cost factor for a server in another data centre: latency is higher, and
#: traffic between data centres costs money.  An idle remote server is still
#: preferred to a local one that already handles a request of this VM.
_REMOTE_FACTOR: Final = 1.4
#: The same where paces are learned, and so single answers weigh less.
_REMOTE_PACE_FACTOR: Final = 1.6
#: A single answer takes this much longer than usual without a cause at the
#: server, as requests differ in work.
_USUAL_SPREAD: Final = 1.3
#: A server is logged as slow when its slowness ratio reaches the first value,
#: and as no longer slow when the ratio falls below the second one.
_SLOW_RATIO: Final = 4.0
_USUAL_RATIO: Final = 2.0
#: Maximum random increase of a cost, as a fraction of it; breaks ties.
_JITTER: Final = 0.01
_INFINITE: Final = float('inf')
#: Cost factor for a server without a free open connection: a new one takes a
#: round trip and occupies a slot of the server for a while.  A VM that sends
#: few requests and has several replicas to choose from therefore stays with
#: those that it is connected to.
_NEW_CONNECTION_FACTOR: Final = 1.3
#: Cost factor for a server that has announced that it is still warming up.
_COLD_FACTOR: Final = 1.6


class ConnectionPool(Protocol):
    """Connections of this VM to one server.

    :ivar limit: limit of the server on requests, and permits to send them.
    """

    limit: SendLimit

    @property
    def load(self) -> int:
        """Number of this VM's unfinished attempts, queued or sent."""

    @property
    def has_idle_connection(self) -> bool:
        """Whether an idle open connection is available."""

    def retire(self) -> None:
        """Stop sending requests to the server."""


Pool = TypeVar('Pool', bound=ConnectionPool)


@final
class Replica(  # noqa: WPS214 -- short methods on one record
    Generic[Pool]
):
    """A backend server and this VM's measurements of it.

    :ivar record: the server's own description of itself.
    :ivar pool: connections to the server.
    :ivar is_remote: whether the server is in another data centre.
    :ivar is_slow: whether the server was last logged as slow.  Used for the
        log only; :meth:`cost` uses the estimate itself.
    :ivar slowness: estimate of how much slower than usual the next answer is.
    :ivar pace: how fast the server works, and how much it takes; ``None`` where
        it is not learned.
    :ivar throttle: counts of requests sent and answered.
    :ivar queue: estimate of how long a request waits before it runs.
    :ivar cold_until_ms: end of the server's warm-up by this VM's clock.
    """

    __slots__ = (
        'cold_until_ms',
        'is_remote',
        'is_slow',
        'pace',
        'pool',
        'queue',
        'record',
        'slowness',
        'throttle',
    )

    def __init__(self, record: ServerRecord, pool: Pool, *, is_remote: bool):
        """Create a replica without any measurements."""
        self.record = record
        self.pool = pool
        self.is_remote = is_remote
        self.is_slow = False
        self.slowness = Slowness()
        self.pace: ServerPace | None = None
        self.throttle = Throttle()
        self.queue = QueueDelay()
        self.cold_until_ms: float = 0

    @property
    def may_change_slow_state(self) -> bool:
        """Whether :meth:`update_slow_state` could return a change.

        Cheaper than calling that method.
        """
        return self.is_slow or not self.slowness.is_usual

    def update_slow_state(self, now_ms: float) -> bool | None:
        """Update :attr:`is_slow` from the estimate.

        :returns: the new value, ``None`` if it did not change.
        """
        ratio = self.slowness.ratio(now_ms)
        changes = ratio < _USUAL_RATIO if self.is_slow else ratio >= _SLOW_RATIO
        if not changes:
            return None
        self.is_slow = not self.is_slow
        return self.is_slow

    def warm_up(self, now_ms: float, left_ms: float) -> None:
        """Take the server for cold for a time."""
        self.cold_until_ms = now_ms + left_ms

    def learn_pace(self, *, is_wanted: bool) -> None:
        """Begin to learn the server's pace, or forget it."""
        if not is_wanted:
            self.pace = None
        elif self.pace is None:
            self.pace = ServerPace(self.record.slots)

    def reset_estimates(self) -> None:
        """Forget everything that was measured of the server."""
        self.slowness = Slowness()
        if self.pace is not None:
            self.pace = ServerPace(self.record.slots)
        self.throttle = Throttle()
        self.queue = QueueDelay()

    def cost(self, now_ms: float) -> float:
        """Return the relative cost of one more request; lower is better.

        :returns: infinity if the server does not permit one.
        """
        cost = self._expected_time(now_ms)
        if not self.pool.has_idle_connection:
            cost *= _NEW_CONNECTION_FACTOR
        if now_ms < self.cold_until_ms:
            cost *= _COLD_FACTOR
        if self.pool.limit.is_refused(now_ms, self.pool.load):
            return _INFINITE
        return cost

    def _expected_time(self, now_ms: float) -> float:
        """Return the relative time of one more request, weighed by place."""
        at_work = self.pool.load + 1
        if self.pace is None:
            expected = at_work * self.slowness.ratio(now_ms)
            return expected * _REMOTE_FACTOR if self.is_remote else expected
        expected = self.pace.expected(at_work, now_ms)
        if not self.slowness.is_usual:
            expected *= max(1, self.slowness.ratio(now_ms) / _USUAL_SPREAD)
        return expected * _REMOTE_PACE_FACTOR if self.is_remote else expected


_ByService = dict[ServiceId, list[Replica[Pool]]]


@final
class Replicas(  # noqa: WPS214 -- many short methods on one table
    Generic[Pool]
):
    """All servers that accept new requests, by service and by server id.

    :ivar is_only_local: whether the servers of other data centres are not
        used, as they are out of reach.
    :ivar remote_answer_ms: when a server of another data centre last
        answered, ``-inf`` if none has.
    """

    def __init__(
        self,
        data_centre: str,
        make_pool: Callable[[ServerRecord], Pool],
        random: Random,
    ) -> None:
        """Create an empty table.

        :param data_centre: data centre of this VM.
        :param make_pool: creates the connection pool for a server.
        :param random: source of the jitter that breaks ties.
        """
        self._data_centre = data_centre
        self._make_pool = make_pool
        self._random = random
        self.is_only_local = False
        self.remote_answer_ms = float('-inf')
        self._by_server: dict[ServerId, Replica[Pool]] = {}
        self._by_service: _ByService[Pool] = {}

    def __iter__(self) -> Iterator[Replica[Pool]]:
        """Iterate over all replicas."""
        return iter(self._by_server.values())

    def for_service(self, service: ServiceId) -> list[Replica[Pool]]:
        """Return the usable replicas of a service; do not modify the list."""
        known = self._by_service.get(service, [])
        if self.is_only_local:
            return [replica for replica in known if not replica.is_remote]
        return known

    def use_only_local(self, *, only_local: bool) -> None:
        """Use or stop using the servers of other data centres.

        What was measured of them meanwhile says nothing about the servers, so
        it is forgotten when they are used again.
        """
        if self.is_only_local and not only_local:
            for replica in self:
                if replica.is_remote:
                    replica.reset_estimates()
        self.is_only_local = only_local

    def replica(self, server: ServerId) -> Replica[Pool] | None:
        """Return the replica of a server, ``None`` if it is not usable."""
        return self._by_server.get(server)

    def update(
        self,
        record: ServerRecord,
        now_ms: float,
        least_warm_up_ms: float = 0,
    ) -> None:
        """Add or update a server, or remove it if it accepts no new work.

        :param least_warm_up_ms: remaining warm-up time that is assumed if the
            entry names less.
        """
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
        known.warm_up(now_ms, max(least_warm_up_ms, record.warm_up_left_ms))

    def drop(self, server: ServerId) -> None:
        """Remove a server and retire its connections."""
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
        """Return the replica with the lowest cost; ties are broken randomly.

        :param avoid: servers that must not be chosen.
        :param among: the only servers that may be chosen, ``None`` for all.
        """
        allowed = self.for_service(service)
        if avoid or among is not None:
            allowed = [
                replica
                for replica in allowed
                if _is_allowed(replica.record.server, avoid, among)
            ]
        best: Replica[Pool] | None = None
        lowest = _INFINITE
        # A plain loop for speed, because this runs for each sub-request.
        for replica in allowed:
            cost = self._with_jitter(replica.cost(now_ms))
            if cost < lowest:
                best = replica
                lowest = cost
        return best

    def is_unresponsive(self, service: ServiceId, now_ms: float) -> bool:
        """Whether all replicas of a service are unresponsive."""
        return all(
            replica.throttle.is_unresponsive(now_ms)
            for replica in self.for_service(service)
        )

    def is_refused(self, service: ServiceId, now_ms: float) -> bool:
        """Whether no server of a service may be sent to now."""
        return all(
            replica.pool.limit.is_refused(now_ms)
            for replica in self.for_service(service)
        )

    def quiet_left_ms(self, service: ServiceId, now_ms: float) -> float:
        """Return how long all servers of a service ask to be sent nothing.

        :returns: 0 if one of them does not.
        """
        return min(
            (
                replica.pool.limit.quiet_left_ms(now_ms)
                for replica in self.for_service(service)
            ),
            default=0,
        )

    def _with_jitter(self, cost: float) -> float:
        """Return a cost increased by up to 1 %, which only breaks ties."""
        return cost * (1 + self._random.random() * _JITTER)

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
    """Whether two records describe the same start of a server."""
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
