"""A sub-request that waits for a free slot of a backend server."""

from dataclasses import dataclass
from typing import final

from ..model.contract import Priority
from ..model.ids import BackendId, CallId
from ..model.messages import SubRequest

__all__ = ('QueuedSubRequest',)


@final
@dataclass(frozen=True, slots=True)
class QueuedSubRequest:
    """A sub-request that has not started, with its deadline.

    :ivar arrived_ms: time at which the owner received it.
    :ivar deadline_ms: time after which its answer is of no use.
    :ivar tried: backend servers that refused it without running it.
    """

    sub_request: SubRequest
    arrived_ms: float
    deadline_ms: float
    tried: tuple[BackendId, ...] = ()

    @property
    def call(self) -> CallId:
        """Call id of the sub-request."""
        return self.sub_request.call

    @property
    def priority(self) -> Priority:
        """Priority of the customer."""
        return self.sub_request.priority
