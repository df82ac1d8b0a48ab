"""Simulation of action calls over an unreliable network."""

import json
import random
from dataclasses import dataclass, field

from dandelionstage.actions.messages import (
    AlreadyEnded,
    FinishAction,
    Refuse,
    SendAction,
    Start,
)
from dandelionstage.actions.minter_lookup import (
    Forward,
    locate_minter,
    minter_unreachable,
)
from dandelionstage.actions.ticket import read_claims
from dandelionstage.actions.ticket_table import (
    Minter,
    TicketLimits,
    TicketTable,
)
from dandelionstage.model.messages import (
    ActionCall,
    ActionOutcome,
    SubReply,
    SubRequest,
)
from dandelionstage.model.verdict import Reason, Run, Verdict, not_run
from tests.action_fakes import make_execution

VMS = ('vm-1', 'vm-2')
LIFETIME_MS = 1000
#: Rounds of delivery in ``deliver_all``; each one delivers the messages that
#: the one before caused.
_MAX_ROUNDS = 6
LOST = Verdict(Run.MAY_HAVE_RUN, Reason.CONNECTION_LOST)
RAN = Verdict(Run.RAN, Reason.OK)


@dataclass
class Request:
    """One request of a caller.

    :ivar entry: the process that the caller sent it to.
    :ivar verdict: the verdict that the caller received.
    """

    number: int
    ticket: str
    body: str
    entry: tuple[str, int]
    verdict: Verdict | None = None

    @property
    def name(self):
        """Id of the request, which is also its call id."""
        return 'r-{0}'.format(self.number)


@dataclass(eq=False)
class Packet:
    """One undelivered message.

    :ivar to: the receiving process, ``None`` for an owner.
    """

    to: tuple[str, int] | None
    sender: tuple[str, int]
    message: object


@dataclass
class Process:
    """One incarnation of a daemon, which mints tickets and serves callers.

    :ivar clock_offset_ms: offset of its monotonic clock.
    :ivar known: the incarnation that it knows of each VM.
    :ivar executions: the execution of each call that started an action.
    :ivar reply_to: the process that sent each call.
    """

    vm: str
    incarnation: int
    clock_offset_ms: float
    known: dict
    frozen: bool = False
    executions: dict = field(default_factory=dict)
    reply_to: dict = field(default_factory=dict)

    def __post_init__(self):
        """Create an empty ticket table with a secret."""
        seed = '{0}-{1}'.format(self.vm, self.incarnation)
        self.table = TicketTable(
            Minter(self.vm, self.incarnation, seed.encode()),
            random.Random(seed),
            TicketLimits(lifetime_ms=LIFETIME_MS),
        )

    @property
    def name(self):
        """VM and incarnation of the process."""
        return self.vm, self.incarnation


class ActionSimulation:
    """Delivers messages between processes and records what really ran.

    :ivar packets: the undelivered messages.
    :ivar partitions: pairs of VMs that cannot reach each other.
    :ivar runs: the action and the request of every run at a server.
    :ivar answered: the calls that have got their first verdict.
    """

    def __init__(self):
        self.now_ms = 0
        self.packets = []
        self.requests = []
        self.partitions = set()
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
        """Return the monotonic time of a process."""
        return self.now_ms + process.clock_offset_ms

    def request(self, ticket, vm, body):
        """Send an action with a ticket as a caller of a VM."""
        process = self.processes[vm]
        request = Request(len(self.requests), ticket, body, process.name)
        self.requests.append(request)
        self.forward(request)

    def forward(self, request):
        """Forward the call of a request to its minter, also repeatedly."""
        process = self.find(request.entry)
        if process is None or process.frozen or request.verdict is not None:
            return
        located = locate_minter(request.ticket, process.known.get)
        if isinstance(located, Refuse):
            self.check_first_verdict(request.name, located.verdict)
            self.set_verdict(request, located.verdict)
            return
        assert isinstance(located, Forward)
        if self.is_partitioned(process.vm, located.vm):
            self.set_verdict(request, minter_unreachable())
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
        # A repeated call keeps its id. Otherwise the first copy could start
        # the action after the second one was answered with "not run".
        to = self.processes[located.vm].name
        self.packets.append(Packet(to, process.name, call))

    def deliver(self, packet, *, copied):
        """Deliver a message; a copied one can be delivered again."""
        process = self.find(packet.to)
        if process is not None and process.frozen:
            return
        if not copied:
            self.packets.remove(packet)
        if process is None or self.is_partitioned(packet.sender[0], process.vm):
            return
        if isinstance(packet.message, ActionCall):
            self.begin(process, packet.message, packet.sender)
        elif isinstance(packet.message, ActionOutcome):
            self.receive_outcome(process, packet.message)
        elif isinstance(packet.message, SubReply):
            self.receive_reply(process, packet.message)

    def begin(self, process, call, source):
        """Process a call in the minting process."""
        process.reply_to[call.call] = source
        result = process.table.begin(call, self.clock(process))
        if isinstance(result, Start):
            running = make_execution(result, self.clock(process) + 500)
            process.executions[call.call] = running
            self.execute(process, running.start(self.clock(process)))
        elif isinstance(result, AlreadyEnded):
            self.answer(process, result.outcome)
        elif isinstance(result, Refuse):
            self.answer(process, ActionOutcome(call.call, result.verdict))

    def execute(self, process, commands):
        """Carry out the commands of an execution."""
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

    def check_first_verdict(self, call, verdict):
        """Check that the first verdict on a call is "not run" only if true.

        A call that reuses a ticket for another action is "not run" even if
        the first action with this ticket ran.
        """
        number = call.removeprefix('r-').partition(':')[0]
        request = self.requests[int(number)]
        if call not in self.answered and verdict.run is Run.NOT_RUN:
            ran = {action for action, _ in self.runs}
            reused = verdict.reason is Reason.TICKET_REUSED
            assert reused or read_claims(request.ticket).action_id not in ran
        self.answered.add(call)

    def answer(self, process, outcome):
        """Send an outcome to the process that sent the call."""
        self.check_first_verdict(outcome.call, outcome.verdict)
        to = process.reply_to[outcome.call]
        self.packets.append(Packet(to, process.name, outcome))

    def receive_outcome(self, process, outcome):
        """Pass an outcome of the minter on to the caller."""
        for request in self.requests:
            call = outcome.call.partition(':')[0]
            if (request.name, request.entry) == (call, process.name):
                self.set_verdict(request, outcome.verdict)

    def receive_reply(self, process, reply):
        """Pass the reply to an attempt to its execution."""
        starter = reply.call.removeprefix('x-').rpartition('-')[0]
        running = process.executions.get(starter)
        if running is not None:
            self.execute(process, running.receive(reply, self.clock(process)))

    def run_attempt(self, packet, run):
        """Run or refuse an attempt at a backend server.

        :param run: ``MAY_HAVE_RUN`` runs the attempt and reports a lost
            connection.
        """
        self.packets.remove(packet)
        sub_request: SubRequest = packet.message
        if run is not Run.NOT_RUN:
            action = json.loads(sub_request.query_json)
            self.runs.append((action['action_id'], sub_request.request))
        verdict = {
            Run.RAN: RAN,
            Run.MAY_HAVE_RUN: LOST,
            Run.NOT_RUN: not_run(Reason.BACKEND_OVERLOADED),
        }[run]
        reply = SubReply(
            call=sub_request.call,
            verdict=verdict,
            answered_by='vm-8',
            backend=sub_request.replicas[0],
        )
        self.packets.append(Packet(packet.sender, ('vm-8', 1), reply))

    def set_verdict(self, request, verdict):
        """Set the verdict that a caller receives; only the first one counts."""
        if request.verdict is None:
            request.verdict = verdict

    def replace(self, vm, clock_offset_ms):
        """Kill a process and start the next incarnation of its VM."""
        old = self.processes[vm]
        for request in self.requests:
            if request.entry == old.name:
                self.set_verdict(request, LOST)
        new = Process(vm, old.incarnation + 1, clock_offset_ms, dict(old.known))
        new.known[vm] = new.incarnation
        self.processes[vm] = new

    def verify(self):
        """Check the callers' verdicts against the recorded runs."""
        actions = [action for action, _ in self.runs]
        assert len(actions) == len(set(actions))
        requests = {request for _, request in self.runs}
        for request in self.requests:
            run = request.verdict.run if request.verdict else None
            if run is Run.NOT_RUN:
                assert request.name not in requests
            if run is Run.RAN:
                assert read_claims(request.ticket).action_id in actions

    def deliver_all(self, run):
        """Deliver all messages in order and run all attempts alike.

        :param run: ``MAY_HAVE_RUN`` runs each attempt and reports a lost
            connection.
        """
        for _ in range(_MAX_ROUNDS):
            for packet in tuple(self.packets):
                if packet.to is None:
                    self.run_attempt(packet, run)
                else:
                    self.deliver(packet, copied=False)

    def run_timers(self):
        """Call ``wake`` of every execution of the processes not frozen."""
        for process in self.processes.values():
            if not process.frozen:
                for running in tuple(process.executions.values()):
                    self.execute(process, running.wake(self.clock(process)))

    def find(self, name):
        """Return a process if this incarnation is still alive."""
        process = self.processes.get(name[0]) if name else None
        if process is None or process.name != name:
            return None
        return process

    def is_partitioned(self, one, other):
        """Return whether two VMs cannot reach each other."""
        return frozenset((one, other)) in self.partitions
