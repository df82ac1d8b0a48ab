"""Sample tickets, calls and replies shared by the tests of actions."""

import random
from itertools import count

from dandelionstage.actions.execution import ActionExecution, ActionPlan
from dandelionstage.actions.ticket_table import (
    Minter,
    TicketLimits,
    TicketTable,
)
from dandelionstage.model.contract import Priority
from dandelionstage.model.messages import (
    ActionCall,
    OwnerKey,
    Pin,
    SubReply,
)
from dandelionstage.model.verdict import Reason, Run, Verdict
from dandelionstage.routing.targets import Target

RAN = Verdict(Run.RAN, Reason.OK)
PIN = Pin('n-1', 1)
LIFETIME_MS = 1000


def make_table(vm='vm-1', incarnation=1, limits=None):
    """Make the ticket table of one process incarnation."""
    seed = '{0}-{1}'.format(vm, incarnation)
    return TicketTable(
        Minter(vm, incarnation, seed.encode()),
        random.Random(seed),
        limits or TicketLimits(lifetime_ms=LIFETIME_MS),
    )


def make_call(ticket, call_id='c-1', body='{"blank": 1}', **fields):
    """Make a call with a ticket."""
    defaults = {
        'request': 'r-{0}'.format(call_id),
        'customer': 'vysocina',
        'workload': 'dilna',
        'remaining_ms': 500,
    }
    return ActionCall(
        call=call_id,
        ticket=ticket,
        action_json=body,
        **(defaults | fields),
    )


def take_only(commands):
    """Return the only command."""
    assert len(commands) == 1
    return commands[0]


def list_targets(excluded_replicas):
    """List two owners of the same two replicas."""
    replicas = tuple(sorted({'b-1', 'b-2'} - excluded_replicas))
    key = OwnerKey('dilna', 's-1', 'zdar')
    return tuple(
        Target(vm, key, replicas) for vm in ('vm-8', 'vm-9') if replicas
    )


def make_execution(started, deadline_ms=500, targets=list_targets):
    """Make the execution of a started action."""
    call_numbers = count()
    return ActionExecution(
        started,
        ActionPlan(PIN, Priority.INTERACTIVE, targets, deadline_ms),
        lambda: 'x-{0}-{1}'.format(started.call.call, next(call_numbers)),
    )


def make_reply(sent, run, reason=Reason.BACKEND_OVERLOADED, backend='b-1'):
    """Make the reply to an attempt."""
    return SubReply(
        call=sent.sub_request.call,
        verdict=Verdict(run, Reason.OK if run is Run.RAN else reason),
        answered_by=sent.vm,
        backend=backend,
    )
