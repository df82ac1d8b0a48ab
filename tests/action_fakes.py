"""Small fakes that the tests of actions share."""

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


def table(vm='vm-1', incarnation=1, limits=None):
    """Make the ticket table of one process incarnation."""
    seed = '{0}-{1}'.format(vm, incarnation)
    return TicketTable(
        Minter(vm, incarnation, seed.encode()),
        random.Random(seed),
        limits or TicketLimits(lifetime_ms=LIFETIME_MS),
    )


def call(ticket, call_id='c-1', body='{"blank": 1}', **fields):
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


def only(commands):
    """Take the one command that there must be."""
    assert len(commands) == 1
    return commands[0]


def targets(avoid):
    """Two owners, each over the same two replicas."""
    left = tuple(sorted({'b-1', 'b-2'} - avoid))
    key = OwnerKey('dilna', 's-1', 'zdar')
    return tuple(Target(vm, key, left) for vm in ('vm-8', 'vm-9') if left)


def execution(started, deadline_ms=500, route=targets):
    """Make the execution of a started action."""
    numbers = count()
    return ActionExecution(
        started,
        ActionPlan(PIN, Priority.INTERACTIVE, route, deadline_ms),
        lambda: 'x-{0}-{1}'.format(started.call.call, next(numbers)),
    )


def reply(sent, run, reason=Reason.BACKEND_OVERLOADED, backend='b-1'):
    """Answer an attempt."""
    return SubReply(
        call=sent.sub_request.call,
        verdict=Verdict(run, Reason.OK if run is Run.RAN else reason),
        answered_by=sent.vm,
        backend=backend,
    )
