"""Tickets, their table and the execution of one action."""

import pytest
from returns.result import Failure

from dandelionstage.actions.minter_lookup import (
    Forward,
    check_idempotency_key,
    locate_minter,
)
from dandelionstage.actions.messages import (
    FinishAction,
    AlreadyEnded,
    Refuse,
    SendAction,
    Start,
    Wait,
)
from dandelionstage.actions.ticket_table import TicketLimits
from dandelionstage.model.messages import ActionOutcome
from dandelionstage.model.verdict import Reason, Run, Verdict, not_run
from tests.action_fakes import (
    LIFETIME_MS,
    RAN,
    call,
    execution,
    only,
    reply,
    table,
)

MAYBE = Verdict(Run.MAY_HAVE_RUN, Reason.CONNECTION_LOST)


def started():
    """Mint a ticket and start its action."""
    tickets = table()
    ticket = tickets.mint('vysocina', 0).unwrap()
    begun = tickets.begin(call(ticket), 0)
    assert isinstance(begun, Start)
    return tickets, ticket, begun


def end(tickets, begun, verdict):
    """Record how a started action ended."""
    outcome = ActionOutcome(begun.call.call, verdict, '{}')
    return tickets.record(begun.action_id, outcome)


def test_second_call_waits_and_gets_the_same_outcome():
    tickets, ticket, begun = started()
    assert tickets.begin(call(ticket, 'c-2'), 1) == Wait()
    told = end(tickets, begun, RAN)
    assert {outcome.call for outcome in told} == {'c-1', 'c-2'}
    assert {outcome.verdict for outcome in told} == {RAN}
    again = tickets.begin(call(ticket, 'c-3'), 2)
    assert again == AlreadyEnded(ActionOutcome('c-3', RAN, '{}'))


def test_doubt_is_final_until_a_late_reply_settles_it():
    tickets, ticket, begun = started()
    end(tickets, begun, MAYBE)
    known = tickets.begin(call(ticket, 'c-2'), 1)
    assert known.outcome.verdict == MAYBE
    end(tickets, begun, RAN)
    known = tickets.begin(call(ticket, 'c-3'), 1)
    assert known.outcome.verdict == RAN
    assert end(tickets, begun, not_run(Reason.CANCELLED)) == ()
    assert tickets.begin(call(ticket, 'c-4'), 1).outcome.verdict == RAN


def test_not_run_may_start_again_but_not_by_a_copy_of_the_same_call():
    tickets, ticket, begun = started()
    refused = not_run(Reason.BACKEND_DRAINING)
    end(tickets, begun, refused)
    copy = tickets.begin(call(ticket), 1)
    assert copy.outcome.verdict == refused
    assert isinstance(tickets.begin(call(ticket, 'c-2'), 1), Start)
    # The first call's outcome, recorded twice, is not the second one's.
    assert end(tickets, begun, RAN) == ()


def test_another_body_is_refused():
    tickets, ticket, begun = started()
    end(tickets, begun, not_run(Reason.BACKEND_COLD))
    begun = tickets.begin(call(ticket, 'c-2', '{"blank": 2}'), 1)
    assert begun == Refuse(not_run(Reason.TICKET_REUSED, 'another action'))
    spelled = call(ticket, 'c-3', '{ "blank":1 }')
    assert isinstance(tickets.begin(spelled, 1), Start)


@pytest.mark.parametrize(
    ('incarnation', 'forge', 'customer', 'run', 'reason'),
    [
        (1, '0', 'vysocina', Run.NOT_RUN, Reason.UNKNOWN_TICKET),
        (1, '', 'other', Run.NOT_RUN, Reason.UNKNOWN_TICKET),
        (2, '', 'vysocina', Run.MAY_HAVE_RUN, Reason.MINTER_GONE),
    ],
)
def test_foreign_tickets_start_nothing(
    incarnation,
    forge,
    customer,
    run,
    reason,
):
    ticket = table().mint('vysocina', 0).unwrap() + forge
    begun = table(incarnation=incarnation).begin(
        call(ticket, customer=customer),
        0,
    )
    assert (begun.verdict.run, begun.verdict.reason) == (run, reason)


@pytest.mark.parametrize('ticket', ['', '.', 'x', 'e30=.00', 'é.é', 'a' * 999])
def test_what_is_no_ticket_is_refused(ticket):
    refused = Refuse(not_run(Reason.UNKNOWN_TICKET))
    assert table().begin(call(ticket), 0) == refused
    assert locate_minter(ticket, lambda _vm: 1).verdict.run is Run.NOT_RUN


def test_expired_ticket_starts_nothing():
    tickets = table()
    ticket = tickets.mint('vysocina', 0).unwrap()
    late = tickets.begin(call(ticket), LIFETIME_MS)
    assert late == Refuse(not_run(Reason.TICKET_EXPIRED))
    assert tickets.open_count(LIFETIME_MS) == 0
    forgotten = tickets.begin(call(ticket, 'c-2'), LIFETIME_MS)
    assert forgotten.verdict.run is Run.MAY_HAVE_RUN


def test_running_action_is_remembered_past_expiry():
    tickets, ticket, begun = started()
    assert tickets.open_count(LIFETIME_MS) == 1
    assert tickets.begin(call(ticket, 'c-2'), LIFETIME_MS) == Wait()
    assert len(end(tickets, begun, RAN)) == 2
    assert tickets.open_count(LIFETIME_MS) == 0


def test_tickets_are_bounded():
    tickets = table(limits=TicketLimits(100, 3, 2))
    assert tickets.mint('a', 0).unwrap() != tickets.mint('a', 0).unwrap()
    assert isinstance(tickets.mint('a', 1), Failure)
    tickets.mint('b', 1).unwrap()
    assert isinstance(tickets.mint('b', 1), Failure)
    tickets.mint('a', 100).unwrap()


def test_calls_with_one_ticket_are_bounded():
    tickets, ticket, _begun = started()
    begun = [
        tickets.begin(call(ticket, str(number)), 0) for number in range(40)
    ]
    refused = [one for one in begun if isinstance(one, Refuse)]
    assert len(refused) == 9
    assert {one.verdict.run for one in refused} == {Run.MAY_HAVE_RUN}


def test_place_names_the_minter_or_says_that_it_is_gone():
    ticket = table('vm-3', 5).mint('vysocina', 0).unwrap()
    assert locate_minter(ticket, lambda _vm: 5) == Forward('vm-3')
    assert locate_minter(ticket, lambda _vm: 4) == Forward('vm-3')
    assert (
        locate_minter(ticket, lambda _vm: 6).verdict.reason
        is Reason.MINTER_GONE
    )
    assert (
        locate_minter(ticket, lambda _vm: None).verdict.run is Run.MAY_HAVE_RUN
    )


def test_key_without_ticket_is_refused():
    refused = check_idempotency_key(has_ticket=False, has_key=True)
    assert refused.reason is Reason.KEY_WITHOUT_TICKET
    assert check_idempotency_key(has_ticket=True, has_key=True) is None
    assert check_idempotency_key(has_ticket=False, has_key=False) is None


def test_next_replica_only_after_not_run():
    _tickets, _ticket, begun = started()
    running = execution(begun)
    sent = only(running.start(0))
    assert sent.sub_request.action
    again = only(running.receive(reply(sent, Run.NOT_RUN), 1))
    assert again.sub_request.replicas == ('b-2',)
    assert running.receive(reply(sent, Run.RAN), 2) == ()
    done = only(running.receive(reply(again, Run.MAY_HAVE_RUN), 2))
    assert done.outcome.verdict.run is Run.MAY_HAVE_RUN


def test_without_any_owner_nothing_runs():
    _tickets, _ticket, begun = started()
    running = execution(begun, route=lambda _avoid: ())
    done = only(running.start(0))
    assert done.outcome.verdict == not_run(Reason.NO_REPLICA)


def test_unreachable_owner_is_passed_by():
    _tickets, _ticket, begun = started()
    running = execution(begun)
    sent = only(running.start(0))
    unreachable = reply(sent, Run.NOT_RUN, Reason.PEER_UNREACHABLE, None)
    again = only(running.receive(unreachable, 1))
    assert again.vm != sent.vm
    unreachable = reply(again, Run.NOT_RUN, Reason.PEER_UNREACHABLE, None)
    done = only(running.receive(unreachable, 1))
    assert isinstance(done, FinishAction)
    assert done.outcome.verdict.run is Run.NOT_RUN


@pytest.mark.parametrize(
    ('now_ms', 'deadline_ms', 'reason'),
    [
        (600, 500, Reason.DEADLINE_EXPIRED),
        (LIFETIME_MS, 5000, Reason.TICKET_EXPIRED),
    ],
)
def test_woken_late_sends_nothing(now_ms, deadline_ms, reason):
    _tickets, _ticket, begun = started()
    running = execution(begun, deadline_ms)
    sent = only(running.start(0))
    done = only(running.receive(reply(sent, Run.NOT_RUN), now_ms))
    assert done.outcome.verdict == not_run(reason)
    done = only(execution(begun, deadline_ms).start(now_ms))
    assert done.outcome.verdict == not_run(reason)


def test_silent_attempt_is_a_doubt_that_a_late_reply_settles():
    _tickets, _ticket, begun = started()
    running = execution(begun)
    sent = only(running.start(0))
    assert isinstance(sent, SendAction)
    assert running.wake(500) == ()
    done = only(running.wake(running.next_wakeup_ms()))
    assert done.outcome.verdict.run is Run.MAY_HAVE_RUN
    assert running.wake(9000) == ()
    late = only(running.receive(reply(sent, Run.NOT_RUN), 9000))
    assert late.outcome.verdict == not_run(Reason.BACKEND_OVERLOADED)
