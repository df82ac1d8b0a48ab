"""Tests that an action runs at most once and that its verdicts are true."""

from enum import Enum, unique
from types import MappingProxyType

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from dandelionstage.model.messages import SubRequest
from dandelionstage.model.verdict import Run
from tests.action_simulation import LIFETIME_MS, VMS, ActionSimulation


@unique
class Fault(Enum):
    """A fault of a VM or a message, or the end of one."""

    REPLACE = 'replace'
    FREEZE_OR_RESUME = 'freeze_or_resume'
    PARTITION_OR_HEAL = 'partition_or_heal'
    LEARN_INCARNATIONS = 'learn_incarnations'
    DROP = 'drop'


def replace_process(simulation, vm, index):
    """Kill a process; the next incarnation has none of its tickets."""
    simulation.replace(vm, clock_offset_ms=(index % 3 - 1) * 5000)


def freeze_or_resume(simulation, vm, _index):
    """Freeze a process, or resume it."""
    simulation.processes[vm].frozen = not simulation.processes[vm].frozen


def partition_or_heal(simulation, _vm, _index):
    """Partition the VMs, or end the partition."""
    simulation.partitions ^= {frozenset(VMS)}


def learn_incarnations(simulation, vm, _index):
    """Let a VM learn the current incarnations."""
    for other, process in simulation.processes.items():
        simulation.processes[vm].known[other] = process.incarnation


def drop(simulation, _vm, index):
    """Lose a message."""
    if simulation.packets:
        simulation.packets.pop(index % len(simulation.packets))


_FAULTS = MappingProxyType(
    {
        Fault.REPLACE: replace_process,
        Fault.FREEZE_OR_RESUME: freeze_or_resume,
        Fault.PARTITION_OR_HEAL: partition_or_heal,
        Fault.LEARN_INCARNATIONS: learn_incarnations,
        Fault.DROP: drop,
    },
)

BODY = '{"blank": 1}'

vms = st.sampled_from(VMS)
bodies = st.sampled_from(['{"blank": 1}', '{"blank": 1}', '{"blank": 2}'])
indexes = st.integers(0, 50)


class ActionMachine(RuleBasedStateMachine):
    """State machine of callers, entries, minters and backend servers."""

    tickets = Bundle('tickets')

    def __init__(self):
        """Create a simulation without faults."""
        super().__init__()
        self.simulation = ActionSimulation()

    @rule(target=tickets, vm=vms)
    def mint(self, vm):
        """Mint a ticket."""
        return self.simulation.mint(vm)

    @rule(ticket=tickets, vm=vms, body=bodies)
    def request(self, ticket, vm, body):
        """Send an action with a new or used ticket to an entry."""
        self.simulation.request(ticket, vm, body)

    @precondition(lambda machine: machine.simulation.requests)
    @rule(index=indexes)
    def send_again(self, index):
        """Forward a call again after its connection was lost."""
        requests = self.simulation.requests
        self.simulation.forward(requests[index % len(requests)])

    @precondition(lambda machine: machine.messages())
    @rule(index=indexes, copied=st.booleans())
    def deliver(self, index, copied):
        """Deliver a message, perhaps late, out of order or as a copy."""
        messages = self.messages()
        self.simulation.deliver(messages[index % len(messages)], copied=copied)

    @precondition(lambda machine: machine.attempts())
    @rule(index=indexes, run=st.sampled_from(Run))
    def run_attempt(self, index, run):
        """Run an attempt, refuse it, or run it and lose the reply."""
        attempts = self.attempts()
        self.simulation.run_attempt(attempts[index % len(attempts)], run)

    @precondition(lambda machine: machine.simulation.packets)
    @rule(run=st.sampled_from(Run))
    def flush(self, run):
        """Deliver all messages."""
        self.simulation.deliver_all(run)

    @rule(fault=st.sampled_from(Fault), vm=vms, index=indexes)
    def fault_or_heal(self, fault, vm, index):
        """Start or end one of the faults."""
        _FAULTS[fault](self.simulation, vm, index)

    @rule(gap_ms=st.sampled_from([100, 600, 1100]))
    def wait(self, gap_ms):
        """Advance the time, possibly past deadlines and expiry."""
        self.simulation.now_ms += gap_ms
        self.simulation.run_timers()

    @invariant()
    def verdicts_are_true(self):
        """Check for double runs and for wrong "ran" and "not run" verdicts."""
        self.simulation.verify()

    def messages(self):
        """List the undelivered messages between processes."""
        return [one for one in self.simulation.packets if one.to is not None]

    def attempts(self):
        """List the attempts that owners have not run yet."""
        return [
            one
            for one in self.simulation.packets
            if isinstance(one.message, SubRequest)
        ]


ActionMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestActions = ActionMachine.TestCase


def start_action(entry='vm-2'):
    """Forward an action until its attempt is sent to an owner."""
    simulation = ActionSimulation()
    ticket = simulation.mint('vm-1')
    simulation.request(ticket, entry, BODY)
    simulation.deliver(simulation.packets[0], copied=False)
    assert isinstance(simulation.packets[0].message, SubRequest)
    return simulation, ticket


def list_verdicts(simulation):
    """List the callers' verdicts, checked against the recorded runs."""
    simulation.verify()
    return [
        request.verdict and request.verdict.run
        for request in simulation.requests
    ]


def test_copy_delivered_after_not_run_starts_nothing():
    simulation = ActionSimulation()
    simulation.request(simulation.mint('vm-1'), 'vm-2', BODY)
    copy = simulation.packets[0]
    simulation.deliver(copy, copied=True)
    simulation.packets.remove(copy)
    simulation.deliver_all(Run.NOT_RUN)
    simulation.packets.append(copy)
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.NOT_RUN]


def test_call_sent_again_after_its_link_was_lost_starts_nothing():
    simulation = ActionSimulation()
    simulation.request(simulation.mint('vm-1'), 'vm-2', BODY)
    delayed = simulation.packets.pop()
    simulation.forward(simulation.requests[0])
    simulation.deliver_all(Run.NOT_RUN)
    simulation.packets.append(delayed)
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.NOT_RUN]


@pytest.mark.parametrize('run', Run)
def test_ticket_used_at_several_entries_runs_once(run):
    simulation, ticket = start_action()
    simulation.request(ticket, 'vm-1', BODY)
    simulation.request(ticket, 'vm-2', BODY)
    simulation.deliver_all(run)
    assert list_verdicts(simulation) == [run, run, run]
    assert len(simulation.runs) == (run is not Run.NOT_RUN)


@pytest.mark.parametrize('run', [Run.RAN, Run.MAY_HAVE_RUN])
def test_replaced_minter_leaves_outcome_uncertain(run):
    simulation, ticket = start_action()
    simulation.run_attempt(simulation.packets[0], run)
    simulation.replace('vm-1', 0)
    simulation.deliver_all(Run.RAN)
    simulation.request(ticket, 'vm-2', BODY)
    simulation.deliver_all(Run.RAN)
    learn_incarnations(simulation, 'vm-2', 0)
    simulation.request(ticket, 'vm-2', BODY)
    simulation.request(ticket, 'vm-1', BODY)
    simulation.deliver_all(Run.RAN)
    first, *later = list_verdicts(simulation)
    assert first is None
    assert set(later) == {Run.MAY_HAVE_RUN}
    assert len(simulation.runs) == 1


def test_unreachable_minter_leaves_outcome_uncertain():
    simulation, ticket = start_action()
    simulation.deliver_all(Run.RAN)
    partition_or_heal(simulation, 'vm-1', 0)
    simulation.request(ticket, 'vm-2', BODY)
    partition_or_heal(simulation, 'vm-1', 0)
    simulation.request(ticket, 'vm-2', BODY)
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.RAN, Run.MAY_HAVE_RUN, Run.RAN]
    assert len(simulation.runs) == 1


def test_minter_resumed_after_expiry_starts_nothing():
    simulation = ActionSimulation()
    simulation.request(simulation.mint('vm-1'), 'vm-2', BODY)
    freeze_or_resume(simulation, 'vm-1', 0)
    simulation.deliver_all(Run.RAN)
    simulation.now_ms += LIFETIME_MS
    freeze_or_resume(simulation, 'vm-1', 0)
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.NOT_RUN]
    assert not simulation.runs


def test_action_running_past_expiry_runs_once():
    simulation, ticket = start_action()
    simulation.now_ms += LIFETIME_MS
    simulation.mint('vm-1')
    simulation.request(ticket, 'vm-1', BODY)
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.RAN, Run.RAN]
    assert len(simulation.runs) == 1


def test_removed_ticket_is_uncertain_and_starts_nothing():
    simulation, ticket = start_action()
    simulation.deliver_all(Run.RAN)
    simulation.now_ms += LIFETIME_MS
    simulation.mint('vm-1')
    simulation.request(ticket, 'vm-2', BODY)
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.RAN, Run.MAY_HAVE_RUN]
    assert len(simulation.runs) == 1


def test_action_runs_once_though_its_entry_is_killed():
    simulation, ticket = start_action()
    simulation.replace('vm-2', 0)
    simulation.deliver_all(Run.RAN)
    simulation.request(ticket, 'vm-2', BODY)
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.MAY_HAVE_RUN, Run.RAN]
    assert len(simulation.runs) == 1


def test_outcome_is_uncertain_until_a_late_reply_arrives():
    simulation, ticket = start_action()
    simulation.run_attempt(simulation.packets[0], Run.RAN)
    late = simulation.packets.pop()
    simulation.now_ms += 600
    simulation.run_timers()
    simulation.deliver_all(Run.RAN)
    simulation.packets.append(late)
    simulation.deliver_all(Run.RAN)
    simulation.request(ticket, 'vm-2', BODY)
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.MAY_HAVE_RUN, Run.RAN]
    assert len(simulation.runs) == 1


def test_reply_delivered_twice_starts_no_second_attempt():
    simulation, _ = start_action()
    simulation.run_attempt(simulation.packets[0], Run.NOT_RUN)
    refusal = simulation.packets[0]
    simulation.deliver(refusal, copied=True)
    simulation.deliver(refusal, copied=False)
    attempts = [
        one for one in simulation.packets if isinstance(one.message, SubRequest)
    ]
    assert len(attempts) == 1
    simulation.deliver_all(Run.RAN)
    assert list_verdicts(simulation) == [Run.RAN]
