"""Scheduling of sub-requests on the backend servers of one data centre."""

from dataclasses import replace
from random import Random
from typing import Final, final

from ..configuration.topology import Topology
from ..limits.lease_borrower import AddressedRequest
from ..limits.queue import next_deadline_ms
from ..limits.queued_sub_request import QueuedSubRequest
from ..limits.server_shares import ServerShares
from ..limits.share_confirmation import CONFIRMATION_TIMEOUT_MS
from ..model.ids import BackendId, CallId, DataCentreId, VmId
from ..model.messages import LeaseGrant, LeaseRequest, SubRequest
from ..model.verdict import Reason, Run, Verdict, not_run
from ..routing.replica_choice import Chooser, choose_earliest_finish
from .backends import Backends
from .dispatcher import Dispatcher
from .messages import AttemptOutcome, CancelAttempt, OwnerCommand
from .owner_state import Attempt, OwnerState
from .queueing import QueueManager
from .restart_probes import RestartProbes
from .retry_tokens import RetryTokens
from .slot_leasing import SlotLeasing
from .sub_replies import make_reply

__all__ = ('Owner',)

#: After this long without a call the process may have been paused.
_PAUSE_MS: Final = 100.0
#: After this long without a call, other VMs may have redistributed this
#: VM's shares.
_RECONFIRM_MS: Final = CONFIRMATION_TIMEOUT_MS / 2

#: Reasons of failures that need not recur at another replica.
_RETRYABLE: Final = frozenset(
    (
        Reason.BACKEND_DRAINING,
        Reason.BACKEND_COLD,
        Reason.BACKEND_OVERLOADED,
        Reason.BACKEND_ERROR,
        Reason.SNAPSHOT_GONE,
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_LOST,
        Reason.CONNECTION_SILENT,
        Reason.CONNECTION_LIMIT,
    ),
)

_CANCELLED: Final = not_run(Reason.CANCELLED)
_NO_FREE_SLOT: Final = not_run(Reason.QUEUE_SHED, 'no slot is free for a hedge')

Commands = tuple[OwnerCommand, ...]


@final
class Owner:  # noqa: WPS214 -- one method for each event
    """Decides when and at which backend server each sub-request runs.

    It receives the sub-requests for the shard replicas that its VM owns.
    The methods do no I/O: they return the commands to carry out.
    """

    def __init__(
        self,
        vm: VmId,
        data_centre: DataCentreId,
        random: Random,
        choose: Chooser = choose_earliest_finish,
    ) -> None:
        """Create the owner of one VM, without any backend server.

        :param random: the source of random numbers for call ids and for the
            choice of servers.
        :param choose: chooses one of several servers with a free slot.
        """
        self._shares = ServerShares(vm, data_centre)
        self._state = OwnerState(vm, Backends(data_centre, self._shares))
        self._dispatcher = Dispatcher(self._state, choose, random)
        self._queueing = QueueManager(self._state)
        self._slot_leasing = SlotLeasing(self._state, self._shares, random)
        self._retry_tokens = RetryTokens()
        self._probes = RestartProbes()
        self._last_event_ms = float('-inf')

    def use_topology(self, topology: Topology, now_ms: float) -> Commands:
        """Apply the servers and VMs of a newer topology."""
        commands = self._note_event(now_ms)
        self._shares.use_topology(topology, now_ms)
        self._state.backends.use_topology(topology)
        commands += self._queueing.requeue(self._state.queues, now_ms)
        return (*commands, *self._dispatch_all(now_ms))

    def offer(self, sub_request: SubRequest, now_ms: float) -> Commands:
        """Start, queue or refuse a new sub-request.

        A call that is already queued or running is ignored. A hedge is
        never queued: it is refused if no slot is free.
        """
        call = sub_request.call
        if call in self._state.attempts or call in self._state.queues.calls:
            return ()
        commands = self._note_event(now_ms)
        self._retry_tokens.count_sub_request()
        deadline_ms = now_ms + sub_request.remaining_ms
        avoided = _list_avoided(self._state, sub_request)
        queued = QueuedSubRequest(sub_request, now_ms, deadline_ms, avoided)
        commands += self._queueing.enqueue(queued, now_ms)
        commands += self._dispatcher.dispatch(sub_request.replicas, now_ms)
        if sub_request.hedge:
            commands += self._queueing.refuse_queued(
                call, _NO_FREE_SLOT, now_ms
            )
        return tuple(commands)

    def finish(self, outcome: AttemptOutcome, now_ms: float) -> Commands:
        """Record the outcome of a started attempt."""
        attempt = self._state.attempts.pop(outcome.call, None)
        if attempt is None:
            return ()
        commands = self._note_event(now_ms)
        self._record(attempt, outcome, now_ms)
        commands += self._reply_or_retry(attempt, outcome, now_ms)
        if self._state.backends.is_leaving(attempt.backend, now_ms):
            return (*commands, *self._requeue_for(attempt.backend, now_ms))
        replicas = attempt.queued.sub_request.replicas
        return (*commands, *self._dispatcher.dispatch(replicas, now_ms))

    def update_health(
        self,
        backend: BackendId,
        incarnation: str,
        now_ms: float,
        *,
        draining: bool,
    ) -> Commands:
        """Record what a peer or a health endpoint reports about a server.

        Such a report changes the state of the server only if it says that
        the server is draining or has restarted.
        """
        state = self._state.backends.states.get(backend)
        if state is None:
            return ()
        state.update_health(incarnation, now_ms, draining=draining)
        return tuple(self._requeue_for(backend, now_ms))

    def cancel(self, call: CallId, now_ms: float) -> Commands:
        """Cancel a sub-request; its one reply is still sent."""
        attempt = self._state.attempts.get(call)
        if attempt is None:
            return tuple(self._queueing.refuse_queued(call, _CANCELLED, now_ms))
        self._state.attempts[call] = replace(attempt, cancelled=True)
        return (CancelAttempt(call, attempt.backend),)

    def tick(self, now_ms: float) -> Commands:
        """Handle expiry, due probes and slots that became free.

        Call this at least once a second.
        """
        commands = self._note_event(now_ms) + self._queueing.expire(now_ms)
        commands += self._probes.list_due(self._state.backends, now_ms)
        return (*commands, *self._dispatch_all(now_ms))

    def next_wakeup_ms(self, now_ms: float) -> float | None:
        """Return when to call ``tick`` next, ``None`` if nothing is queued."""
        times_ms = [
            next_deadline_ms(queue.work) for queue in self._state.queues
        ]
        for backend in self._list_backends_with_work():
            state = self._state.server(backend)
            times_ms.append(state.next_change_ms(now_ms))
        return min((each for each in times_ms if each), default=None)

    def requests(self, now_ms: float) -> tuple[AddressedRequest, ...]:
        """Return the lease requests for slots that waiting work needs."""
        return self._slot_leasing.requests(now_ms)

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Answer a request of another VM for slots."""
        return self._slot_leasing.receive_request(vm, request, now_ms)

    def receive_grant(
        self, vm: VmId, grant: LeaseGrant, now_ms: float
    ) -> Commands:
        """Start work on the slots that another VM granted."""
        backend = self._slot_leasing.receive_grant(vm, grant)
        if backend is None:
            return ()
        return tuple(self._dispatcher.dispatch((backend,), now_ms))

    def connection_allowance(self, backend: BackendId) -> int:
        """Return how many connections this VM may open to a server."""
        return self._shares.connections(backend, self._last_event_ms)

    def pending(self) -> int:
        """Return the number of queued and running sub-requests."""
        return len(self._state.queues.calls) + len(self._state.attempts)

    def _list_backends_with_work(self) -> set[BackendId]:
        return {
            backend
            for queue in self._state.queues
            for backend in queue.replicas
        }

    def _dispatch_all(self, now_ms: float) -> list[OwnerCommand]:
        return self._dispatcher.dispatch(
            self._list_backends_with_work(), now_ms
        )

    def _requeue_for(
        self, backend: BackendId, now_ms: float
    ) -> list[OwnerCommand]:
        """Requeue the work that waits for a server whose state changed."""
        queues = self._state.queues.list_for(backend)
        commands = self._queueing.requeue(queues, now_ms)
        return commands + self._dispatch_all(now_ms)

    def _note_event(self, now_ms: float) -> list[OwnerCommand]:
        """Record the time of an event and handle a pause of the process.

        After a pause, work that expired meanwhile is refused before any
        other work starts.
        """
        paused_ms = now_ms - self._last_event_ms
        self._last_event_ms = now_ms
        if paused_ms > _RECONFIRM_MS:
            self._shares.require_confirmation(now_ms)
        return self._queueing.expire(now_ms) if paused_ms > _PAUSE_MS else []

    def _record(
        self, attempt: Attempt, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        backend = attempt.backend
        state = self._state.server(backend)
        state.finish(outcome, attempt.hold, now_ms)
        reason = outcome.verdict.reason
        self._state.backends.record_failure(backend, reason, now_ms)

    def _reply_or_retry(
        self, attempt: Attempt, outcome: AttemptOutcome, now_ms: float
    ) -> list[OwnerCommand]:
        """Reply, or retry at another replica.

        Only an attempt that certainly did not run is retried.
        """
        queued = attempt.queued
        tried = (*queued.tried, attempt.backend)
        untried = set(queued.sub_request.replicas).difference(tried)
        if untried and _may_retry(attempt, outcome.verdict, now_ms):
            if self._retry_tokens.try_spend():
                retry = replace(queued, tried=tried)
                return self._queueing.enqueue(retry, now_ms)
        return [make_reply(self._state.vm, attempt, outcome)]


def _may_retry(attempt: Attempt, verdict: Verdict, now_ms: float) -> bool:
    if verdict.run is not Run.NOT_RUN or verdict.reason not in _RETRYABLE:
        return False
    if attempt.cancelled or attempt.queued.sub_request.hedge:
        return False
    return now_ms < attempt.queued.deadline_ms


def _list_avoided(
    state: OwnerState, sub_request: SubRequest
) -> tuple[BackendId, ...]:
    """List the servers that a hedge avoids.

    These are the servers that run the earlier attempts at the same part of
    the request, as the hedge is sent because they are slow. No server is
    avoided if every replica runs such an attempt.
    """
    in_use = {
        attempt.backend
        for attempt in state.attempts.values()
        if attempt.queued.sub_request.request == sub_request.request
        and attempt.queued.sub_request.owner_key == sub_request.owner_key
    }
    if not sub_request.hedge or in_use.issuperset(sub_request.replicas):
        return ()
    return tuple(in_use)
