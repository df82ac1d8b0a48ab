"""A fake topology and sub-requests for tests of the owner."""

from collections.abc import Iterable
from itertools import count
from random import Random

from dandelionstage.configuration.topology import PlacedBackend, Topology
from dandelionstage.model.contract import Priority
from dandelionstage.model.ids import (
    BackendId,
    CallId,
    CustomerId,
    DataCentreId,
    RequestId,
    Revision,
    ShardId,
    SnapshotId,
    VmId,
    WorkloadId,
)
from dandelionstage.model.messages import OwnerKey, Pin, SubReply, SubRequest
from dandelionstage.model.topology import BackendServer, Presence
from dandelionstage.model.verdict import Reason, Run, Verdict, not_run
from dandelionstage.owner.messages import (
    AttemptOutcome,
    OwnerCommand,
    SendReply,
    StartAttempt,
)
from dandelionstage.owner.owner import Owner

DATA_CENTRE = DataCentreId('plovdiv-a')
SELF = VmId('vm-1')
FIRST_BACKEND, SECOND_BACKEND = BackendId('b-1'), BackendId('b-2')
PIN = Pin(SnapshotId('s'), Revision(1))
RAN = Verdict(Run.RAN, Reason.OK)
LOST = Verdict(Run.MAY_HAVE_RUN, Reason.CONNECTION_LOST)
SILENT = Verdict(Run.MAY_HAVE_RUN, Reason.CONNECTION_SILENT)
DRAINING = not_run(Reason.BACKEND_DRAINING)
SHED = not_run(Reason.BACKEND_OVERLOADED)

_numbers = count()


def make_server(
    backend: BackendId,
    slots: int = 2,
    presence: Presence = Presence.LIVE,
) -> BackendServer:
    """Publish a server with 50 connections."""
    return BackendServer(
        backend=backend,
        host='127.0.0.1',
        port=1,
        slots=slots,
        max_connections=50,
        presence=presence,
    )


def make_topology(*servers: BackendServer) -> Topology:
    """Publish servers in the owner's data centre, with it as the only VM."""
    return Topology(
        backends={
            server.backend: PlacedBackend(server, DATA_CENTRE)
            for server in servers
        },
        vm_lists={DATA_CENTRE: (SELF,)},
    )


def make_owner(*servers: BackendServer) -> Owner:
    """Make an owner that knows these servers at time 0."""
    owner = Owner(SELF, DATA_CENTRE, Random(1))
    owner.use_topology(make_topology(*servers), 0)
    return owner


def make_sub_request(
    replicas: Iterable[BackendId] = (FIRST_BACKEND,),
    priority: Priority = Priority.INTERACTIVE,
    remaining_ms: float = 1000,
    *,
    hedge: bool = False,
) -> SubRequest:
    """Make a sub-request with a call id of its own."""
    return SubRequest(
        call=CallId('call-{0}'.format(next(_numbers))),
        request=RequestId('r'),
        customer=CustomerId('c'),
        owner_key=OwnerKey(WorkloadId('w'), ShardId('s'), DATA_CENTRE),
        pin=PIN,
        replicas=tuple(replicas),
        priority=priority,
        remaining_ms=remaining_ms,
        query_json='{}',
        hedge=hedge,
    )


def start_attempt(
    owner: Owner, sub_request: SubRequest, now_ms: float = 0
) -> StartAttempt:
    """Offer a sub-request that starts at once."""
    return list_starts(owner.offer(sub_request, now_ms))[0]


def make_outcome(
    started: StartAttempt,
    verdict: Verdict = RAN,
    *,
    incarnation: str = 'i-1',
    draining: bool = False,
    hop_ms: float = 10,
) -> AttemptOutcome:
    """End a started attempt."""
    return AttemptOutcome(
        call=started.sub_request.call,
        backend=started.backend,
        verdict=verdict,
        draining=draining,
        backend_incarnation=incarnation,
        hop_ms=hop_ms,
    )


def list_starts(commands: Iterable[OwnerCommand]) -> list[StartAttempt]:
    """Pick out the attempts that start."""
    return [each for each in commands if isinstance(each, StartAttempt)]


def replies(commands: Iterable[OwnerCommand]) -> list[SubReply]:
    """Pick out the replies."""
    return [each.sub_reply for each in commands if isinstance(each, SendReply)]


def reasons(commands: Iterable[OwnerCommand]) -> list[Reason]:
    """Pick out why calls ended."""
    return [reply.verdict.reason for reply in replies(commands)]
