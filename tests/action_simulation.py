"""Entries, minting processes and backend servers under a hostile network."""

import json
import random
from dataclasses import dataclass, field

from dandelionstage.actions.minter_lookup import (
    Forward,
    locate_minter,
    minter_unreachable,
)
from dandelionstage.actions.messages import (
    FinishAction,
    AlreadyEnded,
    Refuse,
    SendAction,
    Start,
)
from dandelionstage.actions.ticket_table import (
    Minter,
    TicketLimits,
    TicketTable,
)
from dandelionstage.actions.ticket import read_claims
from dandelionstage.model.messages import (
    ActionCall,
    ActionOutcome,
    SubReply,
    SubRequest,
)
from dandelionstage.model.verdict import Reason, Run, Verdict, not_run
from tests.action_fakes import execution

VMS = ('vm-1', 'vm-2')
LIFETIME_MS = 1000
_MAX_FLOW = 6
LOST = Verdict(Run.MAY_HAVE_RUN, Reason.CONNECTION_LOST)
RAN = Verdict(Run.RAN, Reason.OK)


@dataclass
class Request:
    """One request of a caller and what it was told."""

    number: int
    ticket: str
    body: str
    entry: tuple[str, int]
    told: Verdict | None = None

    @property
    def name(self):
        """Name its call and the request itself."""
        return 'r-{0}'.format(self.number)


@dataclass(eq=False)
class Packet:
    """One message under way to one incarnation, or to an owner."""

    to: tuple[str, int] | None
    sender: tuple[str, int]
    message: object


@dataclass
class Process:
    """One incarnation of a daemon, as minter and as entry.

    :ivar skew_ms: how far its monotonic clock is from the others'.
    """

    vm: str
    incarnation: int
    skew_ms: float
    known: dict
    frozen: bool = False
    running: dict = field(default_factory=dict)
    sources: dict = field(default_factory=dict)

    def __post_init__(self):
        """Draw a secret and start without tickets."""
        seed = '{0}-{1}'.format(self.vm, self.incarnation)
        self.table = TicketTable(
            Minter(self.vm, self.incarnation, seed.encode()),
            random.Random(seed),
            TicketLimits(lifetime_ms=LIFETIME_MS),
        )

    @property
    def name(self):
        """Name this incarnation."""
        return self.vm, self.incarnation


class World:
    """Moves messages; the backend servers' log is the witness.

    :ivar runs: the action and the request of every run.
    """

    def __init__(self):
        self.now_ms = 0
        self.packets = []
        self.requests = []
        self.cut = set()
        self.runs = []
        self.answered = set()
        self.processes = {vm: Process(vm, 1, 0, {}) for vm in VMS}
        for process in self.processes.values():
            process.known.update(dict.fromkeys(VMS, 1))

    def mint(self, vm):
        """Mint a ticket at a VM."""
        process = self.processes[vm]
        return process.table.mint('vysocina', self.clock(process)).unwrap()

    def clock(self, process):
        """Tell a process its own time."""
        return self.now_ms + process.skew_ms

    def request(self, ticket, vm, body):
        """Let a caller send an action with a ticket to an entry."""
        process = self.processes[vm]
        request = Request(len(self.requests), ticket, body, process.name)
        self.requests.append(request)
        self.forward(request)

    def forward(self, request):
        """Send, or send again, a request's call to its minter."""
        process = self.find(request.entry)
        if process is None or process.frozen or request.told is not None:
            return
        where = locate_minter(request.ticket, process.known.get)
        if isinstance(where, Refuse):
            self.check(request.name, where.verdict)
            self.tell(request, where.verdict)
            return
        assert isinstance(where, Forward)
        if self.is_cut(process.vm, where.vm):
            self.tell(request, minter_unreachable())
            return
        call = ActionCall(
            call=request.name,
            request=request.name,
            customer='vysocina',
            workload='dilna',
            ticket=request.ticket,
            action_json=request.body,
            remaining_ms=500,
        )
        # A call sent again keeps its id, or the first copy could start the
        # action after the second one was told "not run".
        to = self.processes[where.vm].name
        self.packets.append(Packet(to, process.name, call))

    def deliver(self, packet, *, copied):
        """Hand a message over; a copied one stays under way as well."""
        process = self.find(packet.to)
        if process is not None and process.frozen:
            return
        if not copied:
            self.packets.remove(packet)
        if process is None or self.is_cut(packet.sender[0], process.vm):
            return
        if isinstance(packet.message, ActionCall):
            self.begin(process, packet.message, packet.sender)
        elif isinstance(packet.message, ActionOutcome):
            self.hear(process, packet.message)
        elif isinstance(packet.message, SubReply):
            self.receive(process, packet.message)

    def begin(self, process, call, source):
        """Do what the minting process does with a call."""
        process.sources[call.call] = source
        begun = process.table.begin(call, self.clock(process))
        if isinstance(begun, Start):
            running = execution(begun, self.clock(process) + 500)
            process.running[call.call] = running
            self.obey(process, running.start(self.clock(process)))
        elif isinstance(begun, AlreadyEnded):
            self.answer(process, begun.outcome)
        elif isinstance(begun, Refuse):
            self.answer(process, ActionOutcome(call.call, begun.verdict))

    def obey(self, process, commands):
        """Do what an execution asks for."""
        for command in commands:
            if isinstance(command, SendAction):
                self.packets.append(
                    Packet(None, process.name, command.sub_request),
                )
            elif isinstance(command, FinishAction):
                outcomes = process.table.record(
                    command.action_id,
                    command.outcome,
                )
                for outcome in outcomes:
                    self.answer(process, outcome)

    def check(self, call, verdict):
        """See that the first "not run" given to a call is true just then.

        A call for another action than the ticket's is refused at any time.
        """
        number = call.removeprefix('r-').partition(':')[0]
        request = self.requests[int(number)]
        if call not in self.answered and verdict.run is Run.NOT_RUN:
            ran = {action for action, _ in self.runs}
            reused = verdict.reason is Reason.TICKET_REUSED
            assert reused or read_claims(request.ticket).action_id not in ran
        self.answered.add(call)

    def answer(self, process, outcome):
        """Send an outcome back to where its call came from."""
        self.check(outcome.call, outcome.verdict)
        to = process.sources[outcome.call]
        self.packets.append(Packet(to, process.name, outcome))

    def hear(self, process, outcome):
        """Tell the caller what the minter said."""
        for request in self.requests:
            call = outcome.call.partition(':')[0]
            if (request.name, request.entry) == (call, process.name):
                self.tell(request, outcome.verdict)

    def receive(self, process, reply):
        """Pass an attempt's end to its execution."""
        starter = reply.call.removeprefix('x-').rpartition('-')[0]
        running = process.running.get(starter)
        if running is not None:
            self.obey(process, running.receive(reply, self.clock(process)))

    def run(self, packet, ending):
        """Let an owner take an attempt to a backend server.

        :param ending: what becomes of it.
        """
        self.packets.remove(packet)
        sub_request: SubRequest = packet.message
        if ending is not Run.NOT_RUN:
            action = json.loads(sub_request.query_json)
            self.runs.append((action['action_id'], sub_request.request))
        verdict = {
            Run.RAN: RAN,
            Run.MAY_HAVE_RUN: LOST,
            Run.NOT_RUN: not_run(Reason.BACKEND_OVERLOADED),
        }[ending]
        reply = SubReply(
            call=sub_request.call,
            verdict=verdict,
            answered_by='vm-8',
            backend=sub_request.replicas[0],
        )
        self.packets.append(Packet(packet.sender, ('vm-8', 1), reply))

    def tell(self, request, verdict):
        """Tell a caller the end of its request, once."""
        if request.told is None:
            request.told = verdict

    def replace(self, vm, skew_ms):
        """Kill a process and start the next incarnation of its VM."""
        old = self.processes[vm]
        for request in self.requests:
            if request.entry == old.name:
                self.tell(request, LOST)
        new = Process(vm, old.incarnation + 1, skew_ms, dict(old.known))
        new.known[vm] = new.incarnation
        self.processes[vm] = new

    def verify(self):
        """Compare what callers were told with what the witness saw."""
        actions = [action for action, _ in self.runs]
        assert len(actions) == len(set(actions))
        requests = {request for _, request in self.runs}
        for request in self.requests:
            run = request.told.run if request.told else None
            if run is Run.NOT_RUN:
                assert request.name not in requests
            if run is Run.RAN:
                assert read_claims(request.ticket).action_id in actions

    def flow(self, ending):
        """Let all messages through in order, every attempt ending alike."""
        for _ in range(_MAX_FLOW):
            for packet in tuple(self.packets):
                if packet.to is None:
                    self.run(packet, ending)
                else:
                    self.deliver(packet, copied=False)

    def wake_timers(self):
        """Let every execution look at its clock."""
        for process in self.processes.values():
            if not process.frozen:
                for running in tuple(process.running.values()):
                    self.obey(process, running.wake(self.clock(process)))

    def find(self, name):
        """Find a process if this incarnation of it still lives."""
        process = self.processes.get(name[0]) if name else None
        if process is None or process.name != name:
            return None
        return process

    def is_cut(self, one, other):
        """Say whether a partition stands between two VMs."""
        return frozenset((one, other)) in self.cut
