"""Tests of the starts, refusals and retries of an owner.

They cover the order of queued work, slots, draining and ejected servers,
pauses of the process, cancelled calls and repeated messages.
"""

import pytest
from tests.owner_fakes import (
    DRAINING,
    FIRST_BACKEND,
    LOST,
    SECOND_BACKEND,
    OVERLOADED,
    SILENT,
    list_reasons,
    list_replies,
    list_starts,
    make_outcome,
    make_owner,
    make_server,
    make_sub_request,
    make_topology,
    start_attempt,
)

from dandelionstage.model.contract import Priority
from dandelionstage.model.ids import BackendId
from dandelionstage.model.topology import Presence
from dandelionstage.model.verdict import Reason, Run, not_run
from dandelionstage.owner.messages import (
    CancelAttempt,
    ProbeBackend,
    StartAttempt,
)
from dandelionstage.owner.owner import Owner


_BATCH = Priority.BATCH
_URGENT = Priority.URGENT


def make_busy_owner(slots: int = 1) -> tuple[Owner, list[StartAttempt]]:
    """Make an owner whose only server has all its slots in use."""
    owner = make_owner(make_server(FIRST_BACKEND, slots))
    return owner, [
        start_attempt(owner, make_sub_request()) for _ in range(slots)
    ]


def test_slots_limit_running_attempts():
    owner, running = make_busy_owner(2)
    assert len(running) == 2
    assert not owner.offer(make_sub_request(), 0)
    assert owner.pending() == 3
    done = owner.finish(make_outcome(running[0]), 10)
    assert list_reasons(done) == [Reason.OK]
    assert len(list_starts(done)) == 1


def test_unknown_replicas_are_refused():
    owner = make_owner(make_server(FIRST_BACKEND))
    commands = owner.offer(make_sub_request((BackendId('b-9'),)), 0)
    assert list_replies(commands)[0].verdict.run is Run.NOT_RUN
    assert list_reasons(commands) == [Reason.UNKNOWN_BACKEND]


def test_urgent_starts_before_earlier_batch():
    owner, running = make_busy_owner()
    owner.offer(make_sub_request(priority=Priority.BATCH, remaining_ms=500), 0)
    urgent = make_sub_request(priority=Priority.URGENT)
    owner.offer(urgent, 1)
    started = list_starts(owner.finish(make_outcome(running[0]), 10))
    assert [each.sub_request for each in started] == [urgent]


def test_equal_priority_starts_by_deadline():
    owner, running = make_busy_owner()
    owner.offer(make_sub_request(remaining_ms=900), 0)
    sooner = make_sub_request(remaining_ms=800)
    owner.offer(sooner, 1)
    started = list_starts(owner.finish(make_outcome(running[0]), 10))
    assert [each.sub_request for each in started] == [sooner]


def test_batch_is_not_starved():
    owner, running = make_busy_owner()
    batch = make_sub_request(priority=Priority.BATCH, remaining_ms=60_000)
    owner.offer(batch, 0)
    for turn in range(1, 30):
        owner.offer(make_sub_request((FIRST_BACKEND,), _URGENT), turn)
        done = make_outcome(running[0], hop_ms=1)
        running = list_starts(owner.finish(done, turn))
        if running[0].sub_request == batch:
            break
    # Batch work starts after 19 starts of other work.
    assert turn == 20


def test_expired_work_never_starts():
    owner, running = make_busy_owner()
    owner.offer(make_sub_request(remaining_ms=50), 0)
    done = owner.finish(make_outcome(running[0]), 50)
    assert not list_starts(done)
    assert set(list_reasons(done)) == {Reason.DEADLINE_EXPIRED, Reason.OK}


def test_work_that_cannot_finish_is_not_started():
    owner, running = make_busy_owner()
    owner.offer(make_sub_request(remaining_ms=100), 0)
    done = owner.finish(make_outcome(running[0], hop_ms=60), 60)
    assert not list_starts(done)
    assert list_reasons(done) == [Reason.OK, Reason.TOO_LATE_TO_START]


def test_pause_drops_expired_work_before_any_start():
    owner, running = make_busy_owner()
    for _ in range(3):
        owner.offer(make_sub_request((FIRST_BACKEND,), _BATCH, 500), 0)
    owner.offer(make_sub_request(remaining_ms=9000), 0)
    commands = owner.finish(make_outcome(running[0], hop_ms=1), 5000)
    kinds = [isinstance(each, StartAttempt) for each in commands]
    assert kinds == [False, False, False, False, True]


def test_work_that_would_expire_in_the_queue_is_refused_early():
    owner, running = make_busy_owner()
    owner.finish(make_outcome(running[0], hop_ms=40), 40)
    for _ in range(4):
        owner.offer(make_sub_request(), 40)
    late = make_sub_request(priority=Priority.BATCH, remaining_ms=110)
    verdict = list_replies(owner.offer(late, 41))[0].verdict
    assert (verdict.run, verdict.reason) == (Run.NOT_RUN, Reason.QUEUE_SHED)
    assert verdict.retry_after_ms >= 120


def test_full_queue_sheds_the_least_urgent():
    owner, _running = make_busy_owner()
    for _ in range(32):
        batch = make_sub_request((FIRST_BACKEND,), _BATCH, 60_000)
        assert not owner.offer(batch, 0)
    late = make_sub_request((FIRST_BACKEND,), _BATCH, 60_000)
    assert list_replies(owner.offer(late, 0))[0].call == late.call
    urgent = make_sub_request(priority=Priority.URGENT, remaining_ms=60_000)
    shed = list_replies(owner.offer(urgent, 0))
    assert shed[0].call == batch.call
    assert shed[0].verdict.run is Run.NOT_RUN
    assert shed[0].verdict.retry_after_ms > 0


def test_hedge_is_never_queued():
    owner, running = make_busy_owner()
    refused = owner.offer(make_sub_request(hedge=True), 0)
    assert list_reasons(refused) == [Reason.QUEUE_SHED]
    owner.finish(make_outcome(running[0]), 10)
    assert list_starts(owner.offer(make_sub_request(hedge=True), 10))


def test_attempt_that_did_not_run_is_retried_on_another_replica():
    owner = make_owner(make_server(FIRST_BACKEND), make_server(SECOND_BACKEND))
    first = start_attempt(
        owner, make_sub_request((FIRST_BACKEND, SECOND_BACKEND))
    )
    again = owner.finish(make_outcome(first, OVERLOADED), 5)
    assert not list_replies(again)
    assert {first.backend, list_starts(again)[0].backend} == {
        FIRST_BACKEND,
        SECOND_BACKEND,
    }
    last = owner.finish(make_outcome(list_starts(again)[0], OVERLOADED), 9)
    assert list_reasons(last) == [Reason.BACKEND_OVERLOADED]


def test_attempt_that_may_have_run_is_not_retried():
    owner = make_owner(make_server(FIRST_BACKEND), make_server(SECOND_BACKEND))
    first = start_attempt(
        owner, make_sub_request((FIRST_BACKEND, SECOND_BACKEND))
    )
    commands = owner.finish(make_outcome(first, LOST, incarnation=''), 5)
    assert not list_starts(commands)
    assert list_replies(commands)[0].verdict == LOST


def test_lost_attempt_keeps_its_slot():
    owner, running = make_busy_owner()
    owner.finish(make_outcome(running[0], LOST, incarnation=''), 5)
    assert not list_starts(owner.offer(make_sub_request(), 6))
    wake_ms = owner.next_wakeup_ms(6)
    assert wake_ms == 1005
    owner.offer(make_sub_request(remaining_ms=5000), 999)
    assert not list_starts(owner.tick(999))
    assert list_starts(owner.tick(wake_ms + 1))


def test_draining_server_gets_no_new_work():
    owner, running = make_busy_owner()
    owner.offer(make_sub_request(), 0)
    done = owner.finish(make_outcome(running[0], draining=True), 10)
    assert not list_starts(done)
    assert list_reasons(done) == [Reason.OK, Reason.BACKEND_DRAINING]
    again = owner.offer(make_sub_request(), 20)
    assert list_reasons(again) == [Reason.BACKEND_DRAINING]


def test_draining_lasts_until_the_next_incarnation():
    owner, running = make_busy_owner(2)
    owner.finish(make_outcome(running[0], DRAINING), 10)
    owner.use_topology(make_topology(make_server(FIRST_BACKEND)), 20)
    owner.finish(make_outcome(running[1]), 30)
    refused = owner.offer(make_sub_request(), 40)
    assert list_reasons(refused) == [Reason.BACKEND_DRAINING]


def test_late_reply_of_an_earlier_incarnation_is_ignored():
    owner, running = make_busy_owner(3)
    owner.finish(make_outcome(running[0]), 10)
    owner.finish(make_outcome(running[1], DRAINING, incarnation='i-2'), 11)
    owner.finish(make_outcome(running[2], incarnation='i-1'), 12)
    refused = owner.offer(make_sub_request(), 40)
    assert list_reasons(refused) == [Reason.BACKEND_DRAINING]


def test_paused_owner_stops_at_the_first_draining_reply():
    owner, running = make_busy_owner(2)
    owner.finish(make_outcome(running[0]), 60_000)
    first = start_attempt(owner, make_sub_request(), 60_000)
    owner.finish(make_outcome(first, DRAINING), 60_001)
    for now_ms in (60_002, 63_001, 90_000):
        refused = owner.offer(make_sub_request(), now_ms)
        assert list_reasons(refused) == [Reason.BACKEND_DRAINING]


def test_topology_that_lists_live_again_does_not_end_draining():
    owner, running = make_busy_owner()
    owner.finish(make_outcome(running[0]), 10)
    leaving = make_server(FIRST_BACKEND, presence=Presence.LEAVING)
    owner.use_topology(make_topology(leaving), 20)
    owner.use_topology(make_topology(make_server(FIRST_BACKEND)), 30)
    refused = owner.offer(make_sub_request(), 40)
    assert list_reasons(refused) == [Reason.BACKEND_DRAINING]


def test_next_incarnation_starts_with_one_attempt():
    owner, running = make_busy_owner(2)
    owner.finish(make_outcome(running[0], draining=True), 10)
    owner.finish(make_outcome(running[1], draining=True), 11)
    owner.update_health(FIRST_BACKEND, 'i-2', 20, draining=False)
    assert start_attempt(owner, make_sub_request(), 30)
    assert not owner.offer(make_sub_request(), 30)


def test_drained_server_is_probed_for_a_restart():
    owner, running = make_busy_owner()
    assert not owner.tick(5)
    owner.finish(make_outcome(running[0], draining=True), 10)
    assert not owner.tick(2004)
    assert owner.tick(2005) == (ProbeBackend(FIRST_BACKEND),)
    owner.update_health(FIRST_BACKEND, 'i-1', 2010, draining=False)
    assert list_reasons(owner.offer(make_sub_request(), 2011))
    owner.update_health(FIRST_BACKEND, 'i-2', 2020, draining=False)
    assert start_attempt(owner, make_sub_request(), 2021)


def test_reported_draining_refuses_queued_work():
    owner, _running = make_busy_owner()
    owner.offer(make_sub_request(), 0)
    commands = owner.update_health(FIRST_BACKEND, '', 10, draining=True)
    assert list_reasons(commands) == [Reason.BACKEND_DRAINING]


def test_removed_server_has_its_queued_work_refused():
    owner, running = make_busy_owner()
    owner.offer(make_sub_request(), 0)
    commands = owner.use_topology(
        make_topology(make_server(SECOND_BACKEND)), 10
    )
    assert list_reasons(commands) == [Reason.UNKNOWN_BACKEND]
    done = owner.finish(make_outcome(running[0]), 20)
    assert list_reasons(done) == [Reason.OK]
    assert owner.pending() == 0


@pytest.mark.parametrize(
    ('verdict', 'ejected'),
    [
        (SILENT, False),
        (LOST, False),
        (not_run(Reason.CONNECT_FAILED), True),
        (not_run(Reason.BACKEND_ERROR), True),
    ],
)
def test_only_connect_failures_and_errors_eject_a_server(verdict, ejected):
    owner = make_owner(
        make_server(FIRST_BACKEND, 1), make_server(SECOND_BACKEND, 1)
    )
    for now_ms in range(0, 10_000, 2000):
        attempt = start_attempt(owner, make_sub_request(), now_ms)
        owner.finish(make_outcome(attempt, verdict), now_ms)
    both = (FIRST_BACKEND, SECOND_BACKEND)
    assert start_attempt(owner, make_sub_request(both), 8010)
    second = owner.offer(make_sub_request(both), 8010)
    assert bool(list_starts(second)) is not ejected


def test_queued_call_is_cancelled_at_once():
    owner, _running = make_busy_owner()
    queued = make_sub_request()
    owner.offer(queued, 0)
    assert list_reasons(owner.cancel(queued.call, 1)) == [Reason.CANCELLED]


def test_running_call_is_cancelled_at_the_server():
    owner, running = make_busy_owner()
    call = running[0].sub_request.call
    assert owner.cancel(call, 1) == (CancelAttempt(call, FIRST_BACKEND),)
    outcome = make_outcome(running[0], not_run(Reason.CANCELLED))
    assert list_reasons(owner.finish(outcome, 2)) == [Reason.CANCELLED]


def test_repeated_call_or_outcome_is_ignored():
    owner, running = make_busy_owner()
    assert not owner.offer(running[0].sub_request, 1)
    owner.finish(make_outcome(running[0]), 2)
    assert not owner.finish(make_outcome(running[0]), 3)
    assert owner.pending() == 0
