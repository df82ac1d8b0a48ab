"""At most one run, and none behind a "not run", whatever the network does."""

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
from tests.action_simulation import LIFETIME_MS, VMS, World


@unique
class Fault(Enum):
    """What may go wrong with a VM or a message, or be mended."""

    REPLACE = 'replace'
    FREEZE_OR_WAKE = 'freeze_or_wake'
    CUT_OR_HEAL = 'cut_or_heal'
    LEARN = 'learn'
    DROP = 'drop'


def replace_process(world, vm, index):
    """Kill a process; its successor knows nothing of its tickets."""
    world.replace(vm, skew_ms=(index % 3 - 1) * 5000)


def freeze_or_wake(world, vm, _index):
    """Freeze a process, or wake it up."""
    world.processes[vm].frozen = not world.processes[vm].frozen


def cut_or_heal(world, _vm, _index):
    """Cut the VMs off from one another, or heal that."""
    world.cut ^= {frozenset(VMS)}


def learn(world, vm, _index):
    """Let a VM hear of the present incarnations."""
    for other, process in world.processes.items():
        world.processes[vm].known[other] = process.incarnation


def drop(world, _vm, index):
    """Lose a message."""
    if world.packets:
        world.packets.pop(index % len(world.packets))


_FAULTS = MappingProxyType(
    {
        Fault.REPLACE: replace_process,
        Fault.FREEZE_OR_WAKE: freeze_or_wake,
        Fault.CUT_OR_HEAL: cut_or_heal,
        Fault.LEARN: learn,
        Fault.DROP: drop,
    },
)

BODY = '{"blank": 1}'

vms = st.sampled_from(VMS)
bodies = st.sampled_from(['{"blank": 1}', '{"blank": 1}', '{"blank": 2}'])
indexes = st.integers(0, 50)


class ActionMachine(RuleBasedStateMachine):
    """Callers, entries, minters and backend servers in any order."""

    tickets = Bundle('tickets')

    def __init__(self):
        """Start a healthy fleet."""
        super().__init__()
        self.world = World()

    @rule(target=tickets, vm=vms)
    def mint(self, vm):
        """Mint a ticket."""
        return self.world.mint(vm)

    @rule(ticket=tickets, vm=vms, body=bodies)
    def request(self, ticket, vm, body):
        """Send a ticket to any entry, also to several at once."""
        self.world.request(ticket, vm, body)

    @precondition(lambda machine: machine.world.requests)
    @rule(index=indexes)
    def send_again(self, index):
        """Forward a call again after its link was lost."""
        requests = self.world.requests
        self.world.forward(requests[index % len(requests)])

    @precondition(lambda machine: machine.messages())
    @rule(index=indexes, copied=st.booleans())
    def deliver(self, index, copied):
        """Deliver messages late, out of order and twice."""
        messages = self.messages()
        self.world.deliver(messages[index % len(messages)], copied=copied)

    @precondition(lambda machine: machine.attempts())
    @rule(index=indexes, ending=st.sampled_from(Run))
    def run_attempt(self, index, ending):
        """Let a backend server run, refuse, or run and lose the answer."""
        attempts = self.attempts()
        self.world.run(attempts[index % len(attempts)], ending)

    @precondition(lambda machine: machine.world.packets)
    @rule(ending=st.sampled_from(Run))
    def flow(self, ending):
        """Let everything through."""
        self.world.flow(ending)

    @rule(fault=st.sampled_from(Fault), vm=vms, index=indexes)
    def fail(self, fault, vm, index):
        """Let one of the faults happen, or end."""
        _FAULTS[fault](self.world, vm, index)

    @rule(gap_ms=st.sampled_from([100, 600, 1100]))
    def wait(self, gap_ms):
        """Let time pass, beyond deadlines and expiry too."""
        self.world.now_ms += gap_ms
        self.world.wake_timers()

    @invariant()
    def verdicts_are_true(self):
        """No two runs, none behind a "not run", and "ran" means ran."""
        self.world.verify()

    def messages(self):
        """List the messages between processes."""
        return [one for one in self.world.packets if one.to is not None]

    def attempts(self):
        """List the attempts that owners hold."""
        return [
            one
            for one in self.world.packets
            if isinstance(one.message, SubRequest)
        ]


ActionMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestActions = ActionMachine.TestCase


def started(entry='vm-2'):
    """Bring an action to the point where its attempt is under way."""
    world = World()
    ticket = world.mint('vm-1')
    world.request(ticket, entry, BODY)
    world.deliver(world.packets[0], copied=False)
    assert isinstance(world.packets[0].message, SubRequest)
    return world, ticket


def told(world):
    """List what the callers were told, checked against the witness."""
    world.verify()
    return [request.told and request.told.run for request in world.requests]


def test_copy_delivered_after_not_run_starts_nothing():
    world = World()
    world.request(world.mint('vm-1'), 'vm-2', BODY)
    copy = world.packets[0]
    world.deliver(copy, copied=True)
    world.packets.remove(copy)
    world.flow(Run.NOT_RUN)
    world.packets.append(copy)
    world.flow(Run.RAN)
    assert told(world) == [Run.NOT_RUN]


def test_call_sent_again_after_its_link_was_lost_starts_nothing():
    world = World()
    world.request(world.mint('vm-1'), 'vm-2', BODY)
    delayed = world.packets.pop()
    world.forward(world.requests[0])
    world.flow(Run.NOT_RUN)
    world.packets.append(delayed)
    world.flow(Run.RAN)
    assert told(world) == [Run.NOT_RUN]


@pytest.mark.parametrize('ending', Run)
def test_same_ticket_at_several_entries_at_once(ending):
    world, ticket = started()
    world.request(ticket, 'vm-1', BODY)
    world.request(ticket, 'vm-2', BODY)
    world.flow(ending)
    assert told(world) == [ending, ending, ending]
    assert len(world.runs) == (ending is not Run.NOT_RUN)


@pytest.mark.parametrize('ending', [Run.RAN, Run.MAY_HAVE_RUN])
def test_minter_replaced_leaves_doubt_and_nothing_runs_again(ending):
    world, ticket = started()
    world.run(world.packets[0], ending)
    world.replace('vm-1', 0)
    world.flow(Run.RAN)
    world.request(ticket, 'vm-2', BODY)
    world.flow(Run.RAN)
    learn(world, 'vm-2', 0)
    world.request(ticket, 'vm-2', BODY)
    world.request(ticket, 'vm-1', BODY)
    world.flow(Run.RAN)
    first, *later = told(world)
    assert first is None
    assert set(later) == {Run.MAY_HAVE_RUN}
    assert len(world.runs) == 1


def test_minter_cut_off_leaves_doubt():
    world, ticket = started()
    world.flow(Run.RAN)
    cut_or_heal(world, 'vm-1', 0)
    world.request(ticket, 'vm-2', BODY)
    cut_or_heal(world, 'vm-1', 0)
    world.request(ticket, 'vm-2', BODY)
    world.flow(Run.RAN)
    assert told(world) == [Run.RAN, Run.MAY_HAVE_RUN, Run.RAN]
    assert len(world.runs) == 1


def test_minter_woken_after_expiry_starts_nothing():
    world = World()
    world.request(world.mint('vm-1'), 'vm-2', BODY)
    freeze_or_wake(world, 'vm-1', 0)
    world.flow(Run.RAN)
    world.now_ms += LIFETIME_MS
    freeze_or_wake(world, 'vm-1', 0)
    world.flow(Run.RAN)
    assert told(world) == [Run.NOT_RUN]
    assert not world.runs


def test_action_under_way_past_expiry_runs_once():
    world, ticket = started()
    world.now_ms += LIFETIME_MS
    world.mint('vm-1')
    world.request(ticket, 'vm-1', BODY)
    world.flow(Run.RAN)
    assert told(world) == [Run.RAN, Run.RAN]
    assert len(world.runs) == 1


def test_forgotten_ticket_leaves_doubt_and_starts_nothing():
    world, ticket = started()
    world.flow(Run.RAN)
    world.now_ms += LIFETIME_MS
    world.mint('vm-1')
    world.request(ticket, 'vm-2', BODY)
    world.flow(Run.RAN)
    assert told(world) == [Run.RAN, Run.MAY_HAVE_RUN]
    assert len(world.runs) == 1


def test_entry_killed_while_the_action_runs():
    world, ticket = started()
    world.replace('vm-2', 0)
    world.flow(Run.RAN)
    world.request(ticket, 'vm-2', BODY)
    world.flow(Run.RAN)
    assert told(world) == [Run.MAY_HAVE_RUN, Run.RAN]
    assert len(world.runs) == 1


def test_lost_reply_is_a_doubt_until_it_comes_after_all():
    world, ticket = started()
    world.run(world.packets[0], Run.RAN)
    late = world.packets.pop()
    world.now_ms += 600
    world.wake_timers()
    world.flow(Run.RAN)
    world.packets.append(late)
    world.flow(Run.RAN)
    world.request(ticket, 'vm-2', BODY)
    world.flow(Run.RAN)
    assert told(world) == [Run.MAY_HAVE_RUN, Run.RAN]
    assert len(world.runs) == 1


def test_reply_delivered_twice_starts_no_second_attempt():
    world, _ = started()
    world.run(world.packets[0], Run.NOT_RUN)
    refusal = world.packets[0]
    world.deliver(refusal, copied=True)
    world.deliver(refusal, copied=False)
    attempts = [
        one for one in world.packets if isinstance(one.message, SubRequest)
    ]
    assert len(attempts) == 1
    world.flow(Run.RAN)
    assert told(world) == [Run.RAN]
