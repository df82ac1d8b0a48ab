"""Queues of waiting sub-requests, one for each set of backend servers."""

from collections.abc import Iterator
from typing import final

from ..limits.queue import WorkQueue
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.ids import BackendId, CallId
from .backends import Replicas

__all__ = ('ReplicaQueue', 'ReplicaQueues')


@final
class ReplicaQueue:
    """Sub-requests that may each start at any of the same backend servers.

    :ivar replicas: the backend servers.
    :ivar work: the waiting sub-requests.
    """

    def __init__(self, replicas: Replicas) -> None:
        """Create an empty queue."""
        self.replicas = replicas
        self.work = WorkQueue()


@final
class ReplicaQueues:
    """Indexes the queues by replica set, by backend server and by call.

    A queue is removed when its last sub-request is.

    :ivar calls: the queue of each waiting call.
    """

    def __init__(self) -> None:
        """Create an index without queues."""
        self._by_replicas: dict[Replicas, ReplicaQueue] = {}
        self._by_backend: dict[BackendId, dict[Replicas, ReplicaQueue]] = {}
        self.calls: dict[CallId, ReplicaQueue] = {}

    def __iter__(self) -> Iterator[ReplicaQueue]:
        """Iterate over a copy of the list of queues."""
        return iter(tuple(self._by_replicas.values()))

    def list_for(self, backend: BackendId) -> tuple[ReplicaQueue, ...]:
        """List the queues whose work may start at a server."""
        return tuple(self._by_backend.get(backend, {}).values())

    def push(
        self, queued: QueuedSubRequest, replicas: Replicas
    ) -> ReplicaQueue:
        """Add a sub-request to the queue of a replica set."""
        queue = self._by_replicas.setdefault(replicas, ReplicaQueue(replicas))
        for backend in replicas:
            self._by_backend.setdefault(backend, {})[replicas] = queue
        queue.work.push(queued)
        self.calls[queued.call] = queue
        return queue

    def remove(self, call: CallId) -> QueuedSubRequest | None:
        """Remove a call and return it, ``None`` if it is not queued."""
        queue = self.calls.pop(call, None)
        if queue is None:
            return None
        queued = queue.work.remove(call)
        if not queue.work:
            self._discard(queue)
        return queued

    def _discard(self, queue: ReplicaQueue) -> None:
        self._by_replicas.pop(queue.replicas)
        for backend in queue.replicas:
            self._by_backend[backend].pop(queue.replicas)
            if not self._by_backend[backend]:
                self._by_backend.pop(backend)
