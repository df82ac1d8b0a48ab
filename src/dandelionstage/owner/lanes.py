"""Queues of waiting work, one for each set of backend servers."""

from collections.abc import Iterator
from typing import final

from ..limits.queue import WorkQueue
from ..limits.queued_sub_request import QueuedSubRequest
from ..model.ids import BackendId, CallId
from .backends import Replicas

__all__ = ('Lane', 'Lanes')


@final
class Lane:
    """Work that may start at any of the same backend servers.

    :ivar replicas: these servers.
    :ivar queue: the work.
    """

    def __init__(self, replicas: Replicas) -> None:
        """Start empty."""
        self.replicas = replicas
        self.queue = WorkQueue()


@final
class Lanes:
    """Finds a lane by its servers, by one of them, or by a call.

    A lane exists only while work waits in it.

    :ivar calls: the lane of each call that waits.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._lanes: dict[Replicas, Lane] = {}
        self._feeding: dict[BackendId, dict[Replicas, Lane]] = {}
        self.calls: dict[CallId, Lane] = {}

    def __iter__(self) -> Iterator[Lane]:
        """List the lanes with waiting work."""
        return iter(tuple(self._lanes.values()))

    def feeding(self, backend: BackendId) -> tuple[Lane, ...]:
        """List the lanes whose work may start at a server."""
        return tuple(self._feeding.get(backend, {}).values())

    def push(self, waiting: QueuedSubRequest, replicas: Replicas) -> Lane:
        """Add work to the lane of these servers."""
        lane = self._lanes.setdefault(replicas, Lane(replicas))
        for backend in replicas:
            self._feeding.setdefault(backend, {})[replicas] = lane
        lane.queue.push(waiting)
        self.calls[waiting.call] = lane
        return lane

    def remove(self, call: CallId) -> QueuedSubRequest | None:
        """Take one call out, ``None`` if it does not wait."""
        lane = self.calls.pop(call, None)
        if lane is None:
            return None
        waiting = lane.queue.remove(call)
        if not lane.queue:
            self._close(lane)
        return waiting

    def _close(self, lane: Lane) -> None:
        self._lanes.pop(lane.replicas)
        for backend in lane.replicas:
            self._feeding[backend].pop(lane.replicas)
            if not self._feeding[backend]:
                self._feeding.pop(backend)
