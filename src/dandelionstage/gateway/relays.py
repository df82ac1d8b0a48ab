"""The part of a query over many shards that another VM carries out."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, final

from ..catalog.routes import Route, ServiceId
from ..catalog.servers import ServerId
from ..model.ids import VmId
from .attempt import Attempt
from .request_schedule import RequestSchedule
from .requests import CallerRequest

__all__ = ('RelayAssignments', 'NoRelays', 'Relay', 'RelayedQuery', 'Relays')


@final
@dataclass(frozen=True, slots=True, eq=False)
class RelayedQuery:
    """Some shards of a query, each with an attempt that waits for its part.

    :ivar attempts: by shard; each ends with the part or a loss.
    :ivar learn_tried: told which servers of a shard were sent to, and whether
        that is all that will be.
    """

    request: CallerRequest
    route: Route
    schedule: RequestSchedule
    attempts: Mapping[ServiceId, Attempt]
    record_tried: Callable[[ServiceId, Iterable[ServerId], bool], None]

    @property
    def is_pending(self) -> bool:
        """Whether a part is still waited for."""
        return any(not attempt.ended for attempt in self.attempts.values())


class Relay(Protocol):
    """Another VM that asks servers on behalf of this one."""

    @property
    def vm(self) -> VmId:
        """Its name."""

    def ask(self, query: RelayedQuery) -> None:
        """Have it ask the shards."""

    def drop(self, query: RelayedQuery) -> None:
        """Tell it that nobody waits any more."""


#: VMs and the shards that each is to ask.
RelayAssignments = Sequence[tuple[Relay, Sequence[ServiceId]]]


class Relays(Protocol):
    """The VMs that may relay."""

    def divide(self, shards: Sequence[ServiceId]) -> RelayAssignments:
        """Choose which shards other VMs ask; the rest is for this VM."""


@final
class NoRelays:
    """No other VM relays: each query is asked from here."""

    def divide(self, shards: Sequence[ServiceId]) -> RelayAssignments:
        """Leave all shards to this VM."""
        return ()
