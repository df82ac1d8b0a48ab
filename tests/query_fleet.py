"""A small fake fleet for the decision code of queries."""

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
    """Make the contract of the one customer."""
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
    """Name the backend servers of one shard."""
    names = ('b{0:02}-{1}'.format(shard, one) for one in range(replicas))
    return tuple(BackendId(name) for name in names)


def shard_map(shards: int, replicas: int = 2) -> ShardMap:
    """Place each shard on backend servers of its own."""
    return {
        ShardId('s{0:02}'.format(shard)): replicas_of(shard, replicas)
        for shard in range(shards)
    }


def snapshot(name: str, revision: int, shards: ShardMap) -> Snapshot:
    """Make a snapshot over a shard map."""
    return Snapshot(
        snapshot=SnapshotId(name),
        shard_map_revision=Revision(revision),
        published_at_s=revision,
        shards=shards,
    )


def workload(*snapshots: Snapshot) -> Workload:
    """Publish snapshots, newest first."""
    return Workload(workload=WORKLOAD, snapshots=snapshots)


def route(
    workload_id: WorkloadId,
    shard: ShardId,
    replicas: tuple[BackendId, ...],
    avoid: frozenset[BackendId],
) -> tuple[Target, ...]:
    """Rank three owners in the one data centre."""
    usable = tuple(backend for backend in replicas if backend not in avoid)
    key = OwnerKey(workload_id, shard, DataCentreId('plovdiv-a'))
    owners = VMS if usable else ()
    return tuple(Target(vm, key, usable) for vm in owners)


def route_two(
    workload_id: WorkloadId,
    shard: ShardId,
    replicas: tuple[BackendId, ...],
    avoid: frozenset[BackendId],
) -> tuple[Target, ...]:
    """Rank two owners in each of two data centres, one replica in each."""
    targets = []
    for rank in range(2):
        for name, backend in zip('ab', replicas, strict=True):
            key = OwnerKey(workload_id, shard, DataCentreId(name))
            vm = VmId('vm-{0}{1}'.format(name, rank))
            if backend not in avoid:
                targets.append(Target(vm, key, (backend,)))
    return tuple(targets)


def tools(published: Workload, router: Route = route) -> SharedQueryState:
    """Make the tools of one daemon that knows one workload."""
    numbers = count(1)
    return SharedQueryState(
        route=router,
        workload_of=lambda _: published,
        new_call=lambda: CallId('call-{0}'.format(next(numbers))),
        random=Random(0),
    )


Serve = Callable[[SendSubRequest], Iterable[tuple[float, SubReply]]]


@final
class Player:
    """Plays queries under virtual time against a function that serves.

    :ivar sent: every sub-request with the time it was sent.
    """

    def __init__(self, made: SharedQueryState, serve: Serve) -> None:
        """Start at time zero."""
        self.tools = made
        self.now_ms: float = 0
        self.sent: list[tuple[float, SendSubRequest]] = []
        self.cancelled: list[CancelSubRequest] = []
        self.cancelled_ms: list[float] = []
        self._serve = serve
        self._replies: list[tuple[float, int, SubReply]] = []
        self._order = count()

    def play(self, asked: Query, *, paused_ms: float = 0) -> Answer:
        """Run one query to its answer, then deliver what comes late.

        :param paused_ms: the process sleeps this long after its start.
        """
        execution = QueryExecution(asked, self.tools)
        commands = execution.start(self.now_ms)
        found = self._carry_out(commands)
        self.now_ms += paused_ms
        if paused_ms:
            found += self._carry_out(execution.wake(self.now_ms))
        while not execution.finished:
            found += self._carry_out(self._step(execution))
        while self._replies:
            late = heapq.heappop(self._replies)[-1]
            assert not execution.receive(late, self.now_ms)
        assert execution.next_wakeup_ms() is None
        return answer_of(found)

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

    def _carry_out(
        self,
        commands: Iterable[QueryCommand],
    ) -> list[QueryCommand]:
        carried = list(commands)
        for send in sends(carried):
            self.sent.append((self.now_ms, send))
            for delay_ms, reply in self._serve(send):
                due_ms = self.now_ms + delay_ms
                entry = (due_ms, next(self._order), reply)
                heapq.heappush(self._replies, entry)
        self.cancelled.extend(cancels(carried))
        self.cancelled_ms.extend(self.now_ms for _ in cancels(carried))
        return carried


def sends(commands: Iterable[QueryCommand]) -> list[SendSubRequest]:
    """Pick out what is to be sent."""
    return [one for one in commands if isinstance(one, SendSubRequest)]


def cancels(commands: Iterable[QueryCommand]) -> list[CancelSubRequest]:
    """Pick out what is to be cancelled."""
    return [one for one in commands if isinstance(one, CancelSubRequest)]


def answer_of(commands: Iterable[QueryCommand]) -> Answer:
    """Return the one answer."""
    answers = [one.answer for one in commands if isinstance(one, Finish)]
    assert len(answers) == 1
    return answers[0]


def coverage_of(answer: Answer) -> Coverage:
    """Return the coverage that every pinned answer states."""
    assert answer.coverage is not None
    return answer.coverage


def part_of(sub_request: SubRequest, pin: Pin | None = None) -> Part:
    """Make the part a healthy backend server would answer."""
    shard = sub_request.owner_key.shard
    kept_pin = pin or sub_request.pin
    name = '{0}@{1}'.format(shard, kept_pin.snapshot)
    record = Record(RecordId(name), '{}')
    return Part(sub_request.replicas[0], shard, kept_pin, (record,))


def answered(send: SendSubRequest, part: Part | None = None) -> SubReply:
    """Answer a sub-request."""
    made = part or part_of(send.sub_request)
    return SubReply(
        send.sub_request.call,
        Verdict(Run.RAN, Reason.OK),
        send.vm,
        part=made,
        backend=made.backend,
    )


def refused(
    send: SendSubRequest,
    reason: Reason,
    run: Run = Run.NOT_RUN,
    backend: BackendId | None = None,
) -> SubReply:
    """Refuse a sub-request."""
    return SubReply(
        send.sub_request.call,
        Verdict(run, reason),
        send.vm,
        backend=backend,
    )
