"""Tests of forwarding a call to the process that minted its ticket."""

from types import SimpleNamespace

import anyio
import pytest

from dandelionstage.entry.action_service import ActionService, Forwarder
from dandelionstage.model.messages import ActionOutcome
from dandelionstage.model.verdict import Reason, Run, not_run
from tests.action_fakes import make_table

pytestmark = pytest.mark.anyio


class LossyLinks:
    """Loses a number of calls and answers the next one."""

    def __init__(self, losses):
        self.calls = []
        self.forwarder = Forwarder('vm-2', None, self.send)
        self._losses = losses

    def send(self, _vm, call):
        """Lose or answer a call at once, where a link would do so later."""
        self.calls.append(call)
        if len(self.calls) <= self._losses:
            self.forwarder.handle_loss(call)
        else:
            refusal = not_run(Reason.BACKEND_COLD)
            outcome = ActionOutcome(call.call, refusal)
            self.forwarder.handle_outcome(outcome)


async def send_action(links, deadline_ms=None):
    """Send one action with a ticket of another VM and return its outcome."""
    call_numbers = iter(range(100))
    service = ActionService(
        forwarder=links.forwarder,
        minting=None,
        incarnation_of=lambda _vm: 1,
        admit=lambda *_: None,
        release=lambda _: None,
        new_call=lambda: 'c-{0}'.format(next(call_numbers)),
        metrics=SimpleNamespace(observe=lambda *_: None),
        clock=lambda: anyio.current_time() * 1000,
        lifetime_ms=1000,
    )
    arrival = SimpleNamespace(
        request='r-1',
        arrived_ms=service.clock(),
        contract=SimpleNamespace(customer='vysocina', deadline_ms=5000),
        workload=SimpleNamespace(workload='dilna'),
        body=SimpleNamespace(
            ticket=make_table().mint('vysocina', 0).unwrap(),
            idempotency_key=None,
            deadline_ms=deadline_ms,
            action={'blank': 1},
        ),
    )
    _ticket, outcome = await service.act(arrival)
    return outcome


async def test_call_sent_again_keeps_its_id():
    links = LossyLinks(losses=2)
    outcome = await send_action(links)
    assert outcome.verdict == not_run(Reason.BACKEND_COLD)
    assert len(links.calls) == 3
    assert {call.call for call in links.calls} == {'c-0'}


async def test_call_lost_each_time_is_uncertain():
    outcome = await send_action(LossyLinks(losses=9))
    assert outcome.verdict.reason is Reason.PEER_UNREACHABLE
    assert outcome.verdict.run is Run.MAY_HAVE_RUN


async def test_unresponsive_minter_leaves_outcome_uncertain():
    links = LossyLinks(losses=0)
    links.forwarder = Forwarder('vm-2', None, lambda *_: None)
    outcome = await send_action(links, deadline_ms=1)
    assert outcome.verdict.reason is Reason.DEADLINE_EXPIRED
    assert outcome.verdict.run is Run.MAY_HAVE_RUN
