"""Tests of tickets, their table and the execution of one action."""

import pytest
from returns.result import Failure

from dandelionstage.actions.messages import (
    AlreadyEnded,
    FinishAction,
    Refuse,
    SendAction,
    Start,
    Wait,
)
from dandelionstage.actions.minter_lookup import (
    Forward,
    check_idempotency_key,
    locate_minter,
)
from dandelionstage.actions.ticket_table import TicketLimits
from dandelionstage.model.messages import ActionOutcome
from dandelionstage.model.verdict import Reason, Run, Verdict, not_run
from tests.action_fakes import (
    LIFETIME_MS,
    RAN,
    make_call,
    make_execution,
    make_reply,
    make_table,
    take_only,
)

MAY_HAVE_RUN = Verdict(Run.MAY_HAVE_RUN, Reason.CONNECTION_LOST)


def start_action():
    """Mint a ticket and begin its action.

    :returns: the table, the ticket and the result of the first call.
    """
    tickets = make_table()
    ticket = tickets.mint('vysocina', 0).unwrap()
    result = tickets.begin(make_call(ticket), 0)
    assert isinstance(result, Start)
    return tickets, ticket, result


def record_outcome(tickets, result, verdict):
    """Record how a started action ended."""
    outcome = ActionOutcome(result.call.call, verdict, '{}')
    return tickets.record(result.action_id, outcome)


def test_second_call_waits_and_gets_the_same_outcome():
    tickets, ticket, result = start_action()
    assert tickets.begin(make_call(ticket, 'c-2'), 1) == Wait()
    outcomes = record_outcome(tickets, result, RAN)
    assert {outcome.call for outcome in outcomes} == {'c-1', 'c-2'}
    assert {outcome.verdict for outcome in outcomes} == {RAN}
    again = tickets.begin(make_call(ticket, 'c-3'), 2)
    assert again == AlreadyEnded(ActionOutcome('c-3', RAN, '{}'))


def test_uncertain_outcome_is_replaced_only_by_a_late_reply():
    tickets, ticket, result = start_action()
    record_outcome(tickets, result, MAY_HAVE_RUN)
    known = tickets.begin(make_call(ticket, 'c-2'), 1)
    assert known.outcome.verdict == MAY_HAVE_RUN
    record_outcome(tickets, result, RAN)
    known = tickets.begin(make_call(ticket, 'c-3'), 1)
    assert known.outcome.verdict == RAN
    assert record_outcome(tickets, result, not_run(Reason.CANCELLED)) == ()
    assert tickets.begin(make_call(ticket, 'c-4'), 1).outcome.verdict == RAN


def test_action_not_run_restarts_but_not_for_a_repeated_call():
    tickets, ticket, result = start_action()
    refused = not_run(Reason.BACKEND_DRAINING)
    record_outcome(tickets, result, refused)
    copy = tickets.begin(make_call(ticket), 1)
    assert copy.outcome.verdict == refused
    assert isinstance(tickets.begin(make_call(ticket, 'c-2'), 1), Start)
    # A repeated outcome of the first call is not that of the second one.
    assert record_outcome(tickets, result, RAN) == ()


def test_another_body_is_refused():
    tickets, ticket, result = start_action()
    record_outcome(tickets, result, not_run(Reason.BACKEND_COLD))
    result = tickets.begin(make_call(ticket, 'c-2', '{"blank": 2}'), 1)
    assert result == Refuse(not_run(Reason.TICKET_REUSED, 'another action'))
    reformatted = make_call(ticket, 'c-3', '{ "blank":1 }')
    assert isinstance(tickets.begin(reformatted, 1), Start)


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
    ticket = make_table().mint('vysocina', 0).unwrap() + forge
    result = make_table(incarnation=incarnation).begin(
        make_call(ticket, customer=customer),
        0,
    )
    assert (result.verdict.run, result.verdict.reason) == (run, reason)


@pytest.mark.parametrize('ticket', ['', '.', 'x', 'e30=.00', 'é.é', 'a' * 999])
def test_malformed_ticket_is_refused(ticket):
    refused = Refuse(not_run(Reason.UNKNOWN_TICKET))
    assert make_table().begin(make_call(ticket), 0) == refused
    assert locate_minter(ticket, lambda _vm: 1).verdict.run is Run.NOT_RUN


def test_expired_ticket_starts_nothing():
    tickets = make_table()
    ticket = tickets.mint('vysocina', 0).unwrap()
    late = tickets.begin(make_call(ticket), LIFETIME_MS)
    assert late == Refuse(not_run(Reason.TICKET_EXPIRED))
    assert tickets.open_count(LIFETIME_MS) == 0
    removed = tickets.begin(make_call(ticket, 'c-2'), LIFETIME_MS)
    assert removed.verdict.run is Run.MAY_HAVE_RUN


def test_running_action_is_kept_past_expiry():
    tickets, ticket, result = start_action()
    assert tickets.open_count(LIFETIME_MS) == 1
    assert tickets.begin(make_call(ticket, 'c-2'), LIFETIME_MS) == Wait()
    assert len(record_outcome(tickets, result, RAN)) == 2
    assert tickets.open_count(LIFETIME_MS) == 0


def test_number_of_tickets_is_limited():
    tickets = make_table(limits=TicketLimits(100, 3, 2))
    assert tickets.mint('a', 0).unwrap() != tickets.mint('a', 0).unwrap()
    assert isinstance(tickets.mint('a', 1), Failure)
    tickets.mint('b', 1).unwrap()
    assert isinstance(tickets.mint('b', 1), Failure)
    tickets.mint('a', 100).unwrap()


def test_number_of_calls_per_ticket_is_limited():
    tickets, ticket, _result = start_action()
    result = [
        tickets.begin(make_call(ticket, str(number)), 0) for number in range(40)
    ]
    refused = [one for one in result if isinstance(one, Refuse)]
    assert len(refused) == 9
    assert {one.verdict.run for one in refused} == {Run.MAY_HAVE_RUN}


def test_locate_minter_refuses_when_the_minter_is_gone():
    ticket = make_table('vm-3', 5).mint('vysocina', 0).unwrap()
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
    _tickets, _ticket, result = start_action()
    running = make_execution(result)
    sent = take_only(running.start(0))
    assert sent.sub_request.action
    again = take_only(running.receive(make_reply(sent, Run.NOT_RUN), 1))
    assert again.sub_request.replicas == ('b-2',)
    assert running.receive(make_reply(sent, Run.RAN), 2) == ()
    done = take_only(running.receive(make_reply(again, Run.MAY_HAVE_RUN), 2))
    assert done.outcome.verdict.run is Run.MAY_HAVE_RUN


def test_action_without_an_owner_is_not_run():
    _tickets, _ticket, result = start_action()
    running = make_execution(result, targets=lambda _excluded: ())
    done = take_only(running.start(0))
    assert done.outcome.verdict == not_run(Reason.NO_REPLICA)


def test_unreachable_owner_is_skipped():
    _tickets, _ticket, result = start_action()
    running = make_execution(result)
    sent = take_only(running.start(0))
    unreachable = make_reply(sent, Run.NOT_RUN, Reason.PEER_UNREACHABLE, None)
    again = take_only(running.receive(unreachable, 1))
    assert again.vm != sent.vm
    unreachable = make_reply(again, Run.NOT_RUN, Reason.PEER_UNREACHABLE, None)
    done = take_only(running.receive(unreachable, 1))
    assert isinstance(done, FinishAction)
    assert done.outcome.verdict.run is Run.NOT_RUN


@pytest.mark.parametrize(
    ('now_ms', 'deadline_ms', 'reason'),
    [
        (600, 500, Reason.DEADLINE_EXPIRED),
        (LIFETIME_MS, 5000, Reason.TICKET_EXPIRED),
    ],
)
def test_nothing_is_sent_after_deadline_or_expiry(now_ms, deadline_ms, reason):
    _tickets, _ticket, result = start_action()
    running = make_execution(result, deadline_ms)
    sent = take_only(running.start(0))
    done = take_only(running.receive(make_reply(sent, Run.NOT_RUN), now_ms))
    assert done.outcome.verdict == not_run(reason)
    done = take_only(make_execution(result, deadline_ms).start(now_ms))
    assert done.outcome.verdict == not_run(reason)


def test_unanswered_attempt_is_uncertain_until_a_late_reply():
    _tickets, _ticket, result = start_action()
    running = make_execution(result)
    sent = take_only(running.start(0))
    assert isinstance(sent, SendAction)
    assert running.wake(500) == ()
    done = take_only(running.wake(running.next_wakeup_ms()))
    assert done.outcome.verdict.run is Run.MAY_HAVE_RUN
    assert running.wake(9000) == ()
    late = take_only(running.receive(make_reply(sent, Run.NOT_RUN), 9000))
    assert late.outcome.verdict == not_run(Reason.BACKEND_OVERLOADED)
