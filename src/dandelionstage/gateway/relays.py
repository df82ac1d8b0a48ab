"""Interface to relays, VMs that query some shards on behalf of this VM."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, final

from ..catalog.routes import Route, ServiceId
from ..catalog.servers import ServerId
from ..model.ids import VmId
from .attempt import Attempt
from .request_schedule import RequestSchedule
from .requests import CallerRequest

__all__ = ('NoRelays', 'Relay', 'RelayAssignments', 'RelayedQuery', 'Relays')


@final
@dataclass(frozen=True, slots=True, eq=False)
class RelayedQuery:
    """The shards of a query that one relay queries.

    :ivar request: the request from the caller.
    :ivar route: route of the request.
    :ivar schedule: points in time of the request.
    :ivar attempts: attempts by shard; each ends with the reply of the shard
        or the reason why there is none.
    :ivar record_tried: called with a shard, the servers of it that the relay
        has sent to, and whether the relay sends to no others.
    :ivar record_ends: called with the shards whose servers ended while they
        had the request of the relay.
    :ivar record_waits: called with how long a request waits at the best server
        of some shards, in milliseconds.
    :ivar apply_together: calls a function that ends several attempts; no answer
        is made of a part of them.
    """

    request: CallerRequest
    route: Route
    schedule: RequestSchedule
    attempts: Mapping[ServiceId, Attempt]
    record_tried: Callable[[ServiceId, Iterable[ServerId], bool], None]
    record_ends: Callable[[Iterable[ServiceId]], None]
    record_waits: Callable[[Mapping[str, float]], None]
    apply_together: Callable[[Callable[[], None]], None]

    @property
    def is_pending(self) -> bool:
        """Whether any attempt has not ended."""
        return any(not attempt.ended for attempt in self.attempts.values())


class Relay(Protocol):
    """Another VM that queries shards on behalf of this one."""

    @property
    def vm(self) -> VmId:
        """Id of the VM."""

    def send_query(self, query: RelayedQuery) -> None:
        """Send the shards of a query to the relay."""

    def cancel_query(self, query: RelayedQuery) -> None:
        """Tell the relay to stop, as the query needs no more replies."""


#: Relays, each with the shards that it is to query.
RelayAssignments = Sequence[tuple[Relay, Sequence[ServiceId]]]


class Relays(Protocol):
    """The VMs that can act as relays."""

    def assign_shards(self, shards: Sequence[ServiceId]) -> RelayAssignments:
        """Assign shards to relays; this VM queries the shards left over."""


@final
class NoRelays:
    """Relays that assign nothing, so that this VM queries every shard."""

    def assign_shards(self, shards: Sequence[ServiceId]) -> RelayAssignments:
        """Assign no shard to a relay."""
        return ()
