"""One sub-request that waits for a slot."""

from dataclasses import dataclass
from typing import final

from ..model.contract import Priority
from ..model.ids import BackendId, CallId
from ..model.messages import SubRequest

__all__ = ('QueuedSubRequest',)


@final
@dataclass(frozen=True, slots=True)
class QueuedSubRequest:
    """One sub-request that has not started.

    :ivar arrived_ms: when the owner first had it.
    :ivar deadline_ms: when its answer is worth nothing any more.
    :ivar tried: backend servers that refused it without running it.
    """

    sub_request: SubRequest
    arrived_ms: float
    deadline_ms: float
    tried: tuple[BackendId, ...] = ()

    @property
    def call(self) -> CallId:
        """The call that waits."""
        return self.sub_request.call

    @property
    def priority(self) -> Priority:
        """Its customer's priority."""
        return self.sub_request.priority
