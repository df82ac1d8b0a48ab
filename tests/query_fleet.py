"""Simulates a small fleet for tests of query execution."""

import heapq
from collections.abc import Callable, Iterable
from itertools import count
from random import Random
from typing import final

from dandelionstage.model.contract import Contract, Priority
from dandelionstage.model.coverage import Coverage
from dandelionstage.model.ids import (
    BackendId,
    CallId,
    CustomerId,
    DataCentreId,
    RecordId,
    RequestId,
    Revision,
    ShardId,
    SnapshotId,
    VmId,
    WorkloadId,
)
from dandelionstage.model.messages import (
    OwnerKey,
    Part,
    Pin,
    Record,
    SubReply,
    SubRequest,
)
from dandelionstage.model.topology import Snapshot, Workload
from dandelionstage.model.verdict import Reason, Run, Verdict
from dandelionstage.query.execution import QueryExecution
from dandelionstage.query.messages import (
    Answer,
    CancelSubRequest,
    Finish,
    Query,
    QueryCommand,
    Route,
    SendSubRequest,
)
from dandelionstage.query.shared_state import SharedQueryState
from dandelionstage.routing.targets import Target

WORKLOAD = WorkloadId('finder-desk')
DEADLINE_MS = 1000
VMS = (VmId('vm-0'), VmId('vm-1'), VmId('vm-2'))

ShardMap = dict[ShardId, tuple[BackendId, ...]]


def contract(
    minimum_coverage: float = 0.5,
    extra_load_fraction: float = 0.05,
) -> Contract:
    """Make the contract of the only customer."""
    return Contract(
        customer=CustomerId('desk'),
        workloads=(WORKLOAD,),
        p99_ms=100,
        deadline_ms=DEADLINE_MS,
        minimum_coverage=minimum_coverage,
        work_per_s=1000,
        priority=Priority.INTERACTIVE,
        extra_load_fraction=extra_load_fraction,
        key_digests=('0' * 64,),
    )


def query(deadline_ms: float = DEADLINE_MS, **terms: float) -> Query:
    """Make a query under a contract with these terms."""
    return Query(
        RequestId('request-1'),
        contract(**terms),
        WORKLOAD,
        '{}',
        deadline_ms,
    )


def replicas_of(shard: int, replicas: int = 2) -> tuple[BackendId, ...]:
    """Return the ids of the backend servers of one shard."""
    names = ('b{0:02}-{1}'.format(shard, number) for number in range(replicas))
    return tuple(BackendId(name) for name in names)


def shard_map(shards: int, replicas: int = 2) -> ShardMap:
    """Make a shard map with separate backend servers for each shard."""
    return {
        ShardId('s{0:02}'.format(shard)): replicas_of(shard, replicas)
        for shard in range(shards)
    }


def snapshot(name: str, revision: int, shards: ShardMap) -> Snapshot:
    """Make a snapshot with this shard map."""
    return Snapshot(
        snapshot=SnapshotId(name),
        shard_map_revision=Revision(revision),
        published_at_s=revision,
        shards=shards,
    )


def workload(*snapshots: Snapshot) -> Workload:
    """Make a workload with these snapshots, newest first."""
    return Workload(workload=WORKLOAD, snapshots=snapshots)


def route(
    workload_id: WorkloadId,
    shard: ShardId,
    replicas: tuple[BackendId, ...],
    avoid: frozenset[BackendId],
) -> tuple[Target, ...]:
    """Return targets for three owners in a single data centre."""
    usable = tuple(backend for backend in replicas if backend not in avoid)
    key = OwnerKey(workload_id, shard, DataCentreId('plovdiv-a'))
    owners = VMS if usable else ()
    return tuple(Target(vm, key, usable) for vm in owners)


def route_two_data_centres(
    workload_id: WorkloadId,
    shard: ShardId,
    replicas: tuple[BackendId, ...],
    avoid: frozenset[BackendId],
) -> tuple[Target, ...]:
    """Return targets for two owners in each of two data centres.

    Each data centre holds one replica.
    """
    targets = []
    for rank in range(2):
        for name, backend in zip('ab', replicas, strict=True):
            key = OwnerKey(workload_id, shard, DataCentreId(name))
            vm = VmId('vm-{0}{1}'.format(name, rank))
            if backend not in avoid:
                targets.append(Target(vm, key, (backend,)))
    return tuple(targets)


def shared_state(
    published: Workload, router: Route = route
) -> SharedQueryState:
    """Make the shared state of a daemon that knows one workload."""
    numbers = count(1)
    return SharedQueryState(
        route=router,
        workload_of=lambda _: published,
        new_call=lambda: CallId('call-{0}'.format(next(numbers))),
        random=Random(0),
    )


#: Returns the replies to a sub-request, each with its delay in milliseconds.
Serve = Callable[[SendSubRequest], Iterable[tuple[float, SubReply]]]


@final
class QuerySimulator:
    """Runs queries in virtual time; a function provides the replies.

    :ivar sent: every sub-request with the time it was sent.
    :ivar cancelled: every command to cancel a sub-request.
    :ivar cancelled_ms: the time of each of these commands.
    """

    def __init__(self, shared: SharedQueryState, serve: Serve) -> None:
        """Start at time zero."""
        self.shared = shared
        self.now_ms: float = 0
        self.sent: list[tuple[float, SendSubRequest]] = []
        self.cancelled: list[CancelSubRequest] = []
        self.cancelled_ms: list[float] = []
        self._serve = serve
        self._replies: list[tuple[float, int, SubReply]] = []
        self._order = count()

    def run(self, submitted: Query, *, paused_ms: float = 0) -> Answer:
        """Run one query to its answer, then deliver the late replies.

        :param paused_ms: how long the process is paused after the query is
            started, in milliseconds.
        """
        execution = QueryExecution(submitted, self.shared)
        commands = execution.start(self.now_ms)
        executed = self._execute(commands)
        self.now_ms += paused_ms
        if paused_ms:
            executed += self._execute(execution.wake(self.now_ms))
        while not execution.finished:
            executed += self._execute(self._step(execution))
        while self._replies:
            late = heapq.heappop(self._replies)[-1]
            assert not execution.receive(late, self.now_ms)
        assert execution.next_wakeup_ms() is None
        return answer_of(executed)

    def attempts_at(self, shard: str) -> list[SendSubRequest]:
        """List the sub-requests to one shard, in order."""
        return [
            send
            for _, send in self.sent
            if send.sub_request.owner_key.shard == shard
        ]

    def _step(self, execution: QueryExecution) -> tuple[QueryCommand, ...]:
        wakeup_ms = execution.next_wakeup_ms()
        assert wakeup_ms is not None
        if self._replies and self._replies[0][0] <= wakeup_ms:
            due_ms, _, reply = heapq.heappop(self._replies)
            self.now_ms = max(self.now_ms, due_ms)
            return execution.receive(reply, self.now_ms)
        self.now_ms = max(self.now_ms, wakeup_ms)
        return execution.wake(self.now_ms)

    def _execute(
        self,
        commands: Iterable[QueryCommand],
    ) -> list[QueryCommand]:
        executed = list(commands)
        for send in sends(executed):
            self.sent.append((self.now_ms, send))
            for delay_ms, reply in self._serve(send):
                due_ms = self.now_ms + delay_ms
                entry = (due_ms, next(self._order), reply)
                heapq.heappush(self._replies, entry)
        self.cancelled.extend(cancels(executed))
        self.cancelled_ms.extend(self.now_ms for _ in cancels(executed))
        return executed


def sends(commands: Iterable[QueryCommand]) -> list[SendSubRequest]:
    """Return the commands to send a sub-request."""
    return [one for one in commands if isinstance(one, SendSubRequest)]


def cancels(commands: Iterable[QueryCommand]) -> list[CancelSubRequest]:
    """Return the commands to cancel a sub-request."""
    return [one for one in commands if isinstance(one, CancelSubRequest)]


def answer_of(commands: Iterable[QueryCommand]) -> Answer:
    """Return the answer of a query that has just finished."""
    answers = [one.answer for one in commands if isinstance(one, Finish)]
    assert len(answers) == 1
    return answers[0]


def coverage_of(answer: Answer) -> Coverage:
    """Return the coverage of an answer that has a pin."""
    assert answer.coverage is not None
    return answer.coverage


def part_of(sub_request: SubRequest, pin: Pin | None = None) -> Part:
    """Make the part that a healthy backend server returns."""
    shard = sub_request.owner_key.shard
    part_pin = pin or sub_request.pin
    name = '{0}@{1}'.format(shard, part_pin.snapshot)
    record = Record(RecordId(name), '{}')
    return Part(sub_request.replicas[0], shard, part_pin, (record,))


def success_reply(send: SendSubRequest, part: Part | None = None) -> SubReply:
    """Make the reply of an owner that answers."""
    reply_part = part or part_of(send.sub_request)
    return SubReply(
        send.sub_request.call,
        Verdict(Run.RAN, Reason.OK),
        send.vm,
        part=reply_part,
        backend=reply_part.backend,
    )


def refusal_reply(
    send: SendSubRequest,
    reason: Reason,
    run: Run = Run.NOT_RUN,
    backend: BackendId | None = None,
) -> SubReply:
    """Make the reply of an owner that refuses."""
    return SubReply(
        send.sub_request.call,
        Verdict(run, reason),
        send.vm,
        backend=backend,
    )
