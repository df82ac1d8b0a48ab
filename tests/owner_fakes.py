"""Sample topology, sub-requests and outcomes for tests of the owner."""

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
VM = VmId('vm-1')
FIRST_BACKEND, SECOND_BACKEND = BackendId('b-1'), BackendId('b-2')
PIN = Pin(SnapshotId('s'), Revision(1))
RAN = Verdict(Run.RAN, Reason.OK)
LOST = Verdict(Run.MAY_HAVE_RUN, Reason.CONNECTION_LOST)
SILENT = Verdict(Run.MAY_HAVE_RUN, Reason.CONNECTION_SILENT)
DRAINING = not_run(Reason.BACKEND_DRAINING)
OVERLOADED = not_run(Reason.BACKEND_OVERLOADED)

_call_numbers = count()


def make_server(
    backend: BackendId,
    slots: int = 2,
    presence: Presence = Presence.LIVE,
) -> BackendServer:
    """Make the published description of a server with 50 connections."""
    return BackendServer(
        backend=backend,
        host='127.0.0.1',
        port=1,
        slots=slots,
        max_connections=50,
        presence=presence,
    )


def make_topology(*servers: BackendServer) -> Topology:
    """Make a topology with one VM and these servers in its data centre."""
    return Topology(
        backends={
            server.backend: PlacedBackend(server, DATA_CENTRE)
            for server in servers
        },
        vm_lists={DATA_CENTRE: (VM,)},
    )


def make_owner(*servers: BackendServer) -> Owner:
    """Make an owner that gets a topology with these servers at time 0."""
    owner = Owner(VM, DATA_CENTRE, Random(1))
    owner.use_topology(make_topology(*servers), 0)
    return owner


def make_sub_request(
    replicas: Iterable[BackendId] = (FIRST_BACKEND,),
    priority: Priority = Priority.INTERACTIVE,
    remaining_ms: float = 1000,
    *,
    hedge: bool = False,
) -> SubRequest:
    """Make a sub-request with a unique call id."""
    return SubRequest(
        call=CallId('call-{0}'.format(next(_call_numbers))),
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
    """Offer a sub-request and return the attempt that it starts at once."""
    return list_starts(owner.offer(sub_request, now_ms))[0]


def make_outcome(
    started: StartAttempt,
    verdict: Verdict = RAN,
    *,
    incarnation: str = 'i-1',
    draining: bool = False,
    hop_ms: float = 10,
) -> AttemptOutcome:
    """Make the outcome of a started attempt."""
    return AttemptOutcome(
        call=started.sub_request.call,
        backend=started.backend,
        verdict=verdict,
        draining=draining,
        backend_incarnation=incarnation,
        hop_ms=hop_ms,
    )


def list_starts(commands: Iterable[OwnerCommand]) -> list[StartAttempt]:
    """Select the commands that start an attempt."""
    return [each for each in commands if isinstance(each, StartAttempt)]


def list_replies(commands: Iterable[OwnerCommand]) -> list[SubReply]:
    """Select the replies that are sent."""
    return [each.sub_reply for each in commands if isinstance(each, SendReply)]


def list_reasons(commands: Iterable[OwnerCommand]) -> list[Reason]:
    """Return the reasons of the replies that are sent."""
    return [reply.verdict.reason for reply in list_replies(commands)]
