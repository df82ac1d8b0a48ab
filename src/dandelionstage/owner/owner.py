"""The owner: one queue and one set of slots for each backend server."""

from dataclasses import replace
from random import Random
from typing import Final, final

from ..configuration.topology import Topology
from ..limits.lease_borrower import Addressed
from ..limits.queue import next_deadline_ms
from ..limits.server_shares import ServerShares
from ..limits.settlement import SETTLE_MS
from ..limits.waiting import Waiting
from ..model.ids import BackendId, CallId, DataCentreId, VmId
from ..model.messages import LeaseGrant, LeaseRequest, SubRequest
from ..model.verdict import Reason, Run, Verdict, not_run
from ..routing.choice import Chooser, choose_least
from .backends import Backends
from .dispatcher import Dispatcher
from .intake import Intake
from .messages import AttemptOutcome, CancelAttempt, OwnerCommand
from .probes import Probes
from .replies import answer
from .retry_allowance import RetryAllowance
from .sharing import Sharing
from .state import Attempt, OwnerState

__all__ = ('Owner',)

#: Without a call for this long, the process may have been paused.
_PAUSE_MS: Final = 100.0
#: After this long, others may have gone on without this VM.
_DOUBT_MS: Final = SETTLE_MS / 2

#: Refusals that another replica may not share.
_RETRIED: Final = frozenset(
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
_NO_SLOT: Final = not_run(Reason.QUEUE_SHED, 'no slot is free for a hedge')

Commands = tuple[OwnerCommand, ...]


@final
class Owner:  # noqa: WPS214 -- one method for each event of the shell
    """Decides which sub-request runs where and when."""

    def __init__(
        self,
        vm: VmId,
        data_centre: DataCentreId,
        random: Random,
        choose: Chooser = choose_least,
    ) -> None:
        """Own shards of one data centre for one of its VMs."""
        self._shares = ServerShares(vm, data_centre)
        self._state = OwnerState(vm, Backends(data_centre, self._shares))
        self._dispatcher = Dispatcher(self._state, choose, random)
        self._intake = Intake(self._state)
        self._sharing = Sharing(self._state, self._shares, random)
        self._retries = RetryAllowance()
        self._probes = Probes()
        self._seen_ms = float('-inf')

    def use_topology(self, topology: Topology, now_ms: float) -> Commands:
        """Follow newer documents."""
        commands = self._wake(now_ms)
        self._shares.use_topology(topology, now_ms)
        self._state.backends.use_topology(topology)
        commands += self._intake.reroute(self._state.lanes, now_ms)
        return (*commands, *self._fill_all(now_ms))

    def offer(self, sub_request: SubRequest, now_ms: float) -> Commands:
        """Take in a sub-request: start it, queue it or refuse it.

        A call that is already here is not taken twice.
        """
        call = sub_request.call
        if call in self._state.attempts or call in self._state.lanes.calls:
            return ()
        commands = self._wake(now_ms)
        self._retries.earn()
        deadline_ms = now_ms + sub_request.remaining_ms
        in_use = _list_in_use(self._state, sub_request)
        waiting = Waiting(sub_request, now_ms, deadline_ms, in_use)
        commands += self._intake.admit(waiting, now_ms)
        commands += self._dispatcher.fill(sub_request.replicas, now_ms)
        if sub_request.hedge:
            commands += self._intake.withdraw(call, _NO_SLOT, now_ms)
        return tuple(commands)

    def finish(self, outcome: AttemptOutcome, now_ms: float) -> Commands:
        """Take in how a started attempt ended."""
        attempt = self._state.attempts.pop(outcome.call, None)
        if attempt is None:
            return ()
        commands = self._wake(now_ms)
        self._learn(attempt, outcome, now_ms)
        commands += self._end(attempt, outcome, now_ms)
        if self._state.backends.is_leaving(attempt.backend, now_ms):
            return (*commands, *self._leave(attempt.backend, now_ms))
        replicas = attempt.waiting.sub_request.replicas
        return (*commands, *self._dispatcher.fill(replicas, now_ms))

    def update_health(
        self,
        backend: BackendId,
        incarnation: str,
        now_ms: float,
        *,
        draining: bool,
    ) -> Commands:
        """Take in what a peer or a health endpoint says of a server.

        Only two things are believed: that it leaves, and that it has
        restarted.
        """
        found = self._state.backends.states.get(backend)
        if found is None:
            return ()
        found.update_health(incarnation, now_ms, draining=draining)
        return tuple(self._leave(backend, now_ms))

    def cancel(self, call: CallId, now_ms: float) -> Commands:
        """Stop a sub-request; it still gets its one reply."""
        attempt = self._state.attempts.get(call)
        if attempt is None:
            return tuple(self._intake.withdraw(call, _CANCELLED, now_ms))
        self._state.attempts[call] = replace(attempt, cancelled=True)
        return (CancelAttempt(call, attempt.backend),)

    def tick(self, now_ms: float) -> Commands:
        """Act on the passing of time; to be called once a second at least."""
        commands = self._wake(now_ms) + self._intake.expire(now_ms)
        commands += self._probes.list_due(self._state.backends, now_ms)
        return (*commands, *self._fill_all(now_ms))

    def next_wakeup_ms(self, now_ms: float) -> float | None:
        """Say at which time to call ``tick``, ``None`` if nothing waits."""
        times_ms = [next_deadline_ms(lane.queue) for lane in self._state.lanes]
        for backend in self._list_awaited():
            found = self._state.server(backend)
            times_ms.append(found.next_change_ms(now_ms))
        return min((each for each in times_ms if each), default=None)

    def requests(self, now_ms: float) -> tuple[Addressed, ...]:
        """Ask other VMs for the slots that waiting work needs."""
        return self._sharing.requests(now_ms)

    def receive_request(
        self, vm: VmId, request: LeaseRequest, now_ms: float
    ) -> LeaseGrant:
        """Answer another VM that asks for slots."""
        return self._sharing.receive_request(vm, request, now_ms)

    def receive_grant(
        self, vm: VmId, grant: LeaseGrant, now_ms: float
    ) -> Commands:
        """Use the slots that another VM lends."""
        backend = self._sharing.receive_grant(vm, grant)
        if backend is None:
            return ()
        return tuple(self._dispatcher.fill((backend,), now_ms))

    def connection_allowance(self, backend: BackendId) -> int:
        """Say how many connections this VM may hold to a server."""
        return self._shares.connections(backend, self._seen_ms)

    def pending(self) -> int:
        """Count the sub-requests that wait or run."""
        return len(self._state.lanes.calls) + len(self._state.attempts)

    def _list_awaited(self) -> set[BackendId]:
        return {
            backend for lane in self._state.lanes for backend in lane.replicas
        }

    def _fill_all(self, now_ms: float) -> list[OwnerCommand]:
        return self._dispatcher.fill(self._list_awaited(), now_ms)

    def _leave(self, backend: BackendId, now_ms: float) -> list[OwnerCommand]:
        """Place the work anew that waits for a server that has changed."""
        feeding = self._state.lanes.feeding(backend)
        commands = self._intake.reroute(feeding, now_ms)
        return commands + self._fill_all(now_ms)

    def _wake(self, now_ms: float) -> list[OwnerCommand]:
        """Drop what expired while the process was paused, if it was."""
        paused_ms = now_ms - self._seen_ms
        self._seen_ms = now_ms
        if paused_ms > _DOUBT_MS:
            self._shares.doubt(now_ms)
        return self._intake.expire(now_ms) if paused_ms > _PAUSE_MS else []

    def _learn(
        self, attempt: Attempt, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        backend = attempt.backend
        found = self._state.server(backend)
        found.finish(outcome, attempt.hold, now_ms)
        reason = outcome.verdict.reason
        self._state.backends.blame(backend, reason, now_ms)

    def _end(
        self, attempt: Attempt, outcome: AttemptOutcome, now_ms: float
    ) -> list[OwnerCommand]:
        """Reply, or try another replica if it certainly did not run."""
        waiting = attempt.waiting
        tried = (*waiting.tried, attempt.backend)
        left = set(waiting.sub_request.replicas).difference(tried)
        if left and _may_retry(attempt, outcome.verdict, now_ms):
            if self._retries.spend():
                again = replace(waiting, tried=tried)
                return self._intake.admit(again, now_ms)
        return [answer(self._state.vm, attempt, outcome)]


def _may_retry(attempt: Attempt, verdict: Verdict, now_ms: float) -> bool:
    if verdict.run is not Run.NOT_RUN or verdict.reason not in _RETRIED:
        return False
    if attempt.cancelled or attempt.waiting.sub_request.hedge:
        return False
    return now_ms < attempt.waiting.deadline_ms


def _list_in_use(
    state: OwnerState, sub_request: SubRequest
) -> tuple[BackendId, ...]:
    """List the servers that a hedge's earlier attempts hold up.

    With all of them held up the hedge may go to any.
    """
    in_use = {
        attempt.backend
        for attempt in state.attempts.values()
        if attempt.waiting.sub_request.request == sub_request.request
        and attempt.waiting.sub_request.owner_key == sub_request.owner_key
    }
    if not sub_request.hedge or in_use.issuperset(sub_request.replicas):
        return ()
    return tuple(in_use)
