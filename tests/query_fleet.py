"""A small fake fleet for the decision code of queries."""

from collections.abc import Iterable
from itertools import count
from random import Random

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
from dandelionstage.query.messages import (
    Answer,
    CancelSubRequest,
    Finish,
    Query,
    QueryCommand,
    Route,
    SendSubRequest,
)
from dandelionstage.query.tools import QueryTools
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


def query(**terms: float) -> Query:
    """Make a query under a contract with these terms."""
    return Query(
        RequestId('request-1'),
        contract(**terms),
        WORKLOAD,
        '{}',
        DEADLINE_MS,
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


def tools(published: Workload, router: Route = route) -> QueryTools:
    """Make the tools of one daemon that knows one workload."""
    numbers = count(1)
    return QueryTools(
        route=router,
        workload_of=lambda _: published,
        new_call=lambda: CallId('call-{0}'.format(next(numbers))),
        random=Random(0),
    )


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
