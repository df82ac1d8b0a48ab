"""Checks single steps of a query: answers, retries, hedges, restarts."""

from dandelionstage.model.topology import Workload
from dandelionstage.model.verdict import Reason, Run
from dandelionstage.query.execution import QueryExecution
from dandelionstage.query.messages import QueryCommand

from . import query_fleet as fleet

TWENTY_SHARDS = fleet.workload(fleet.snapshot('S1', 1, fleet.shard_map(20)))


def begin(
    published: Workload = TWENTY_SHARDS,
    now_ms: float = 0,
    **terms: float,
) -> tuple[QueryExecution, tuple[QueryCommand, ...]]:
    shared = fleet.shared_state(published)
    execution = QueryExecution(fleet.query(**terms), shared)
    return execution, execution.start(now_ms)


def next_due_ms(execution: QueryExecution) -> float:
    due_ms = execution.next_wakeup_ms()
    assert due_ms is not None
    return due_ms


def test_complete_answer():
    execution, commands = begin()
    for send in fleet.sends(commands):
        commands = execution.receive(fleet.success_reply(send), 5)
    answer = fleet.answer_of(commands)
    assert answer.verdict.reason is Reason.OK
    assert fleet.coverage_of(answer).complete
    assert len(answer.records) == 20
    assert (answer.primaries, answer.extra_load) == (20, 0)


def test_partial_answer_at_deadline():
    execution, commands = begin(minimum_coverage=0.9)
    for send in fleet.sends(commands)[1:]:
        execution.receive(fleet.success_reply(send), 5)
    commands = execution.wake(fleet.DEADLINE_MS)
    answer = fleet.answer_of(commands)
    assert answer.verdict.reason is Reason.OK
    assert fleet.coverage_of(answer).missing == ('s00',)
    assert len(fleet.cancels(commands)) == 1


def test_refusal_below_minimum_coverage():
    execution, commands = begin(minimum_coverage=1)
    for send in fleet.sends(commands)[1:]:
        execution.receive(fleet.success_reply(send), 5)
    answer = fleet.answer_of(execution.wake(fleet.DEADLINE_MS))
    assert answer.verdict.reason is Reason.COVERAGE_TOO_LOW
    assert answer.verdict.run is Run.RAN
    assert not answer.records


def test_expired_before_start_sends_nothing():
    commands = begin(now_ms=fleet.DEADLINE_MS)[1]
    assert not fleet.sends(commands)
    assert fleet.answer_of(commands).verdict.run is Run.NOT_RUN


def test_unreachable_owner_costs_no_budget():
    execution, commands = begin(extra_load_fraction=0)
    send = fleet.sends(commands)[0]
    reply = fleet.refusal_reply(send, Reason.PEER_UNREACHABLE)
    retries = fleet.sends(execution.receive(reply, 1))
    assert [one.vm for one in retries] == [fleet.VMS[1]]


def test_brief_refusal_by_every_owner_loses_no_shard():
    """During a rolling stop, owners refuse for different reasons.

    The customer has no retry budget.
    """
    restarted_ms = 20
    reasons = {
        fleet.VMS[0]: Reason.STOPPING,
        fleet.VMS[1]: Reason.PEER_UNREACHABLE,
        fleet.VMS[2]: Reason.STOPPING,
    }

    def serve(send):
        if simulator.now_ms < restarted_ms:
            return [(1, fleet.refusal_reply(send, reasons[send.vm]))]
        return [(1, fleet.success_reply(send))]

    published = fleet.workload(fleet.snapshot('S1', 1, fleet.shard_map(1)))
    simulator = fleet.QuerySimulator(fleet.shared_state(published), serve)
    simulator.shared.random.seed(3)
    answer = simulator.run(fleet.query(extra_load_fraction=0))
    assert simulator.now_ms >= restarted_ms
    assert fleet.coverage_of(answer).complete


def test_hedge_cancels_the_slower_attempt():
    execution, commands = begin()
    first, *others = fleet.sends(commands)
    for send in others:
        execution.receive(fleet.success_reply(send), 5)
    due_ms = next_due_ms(execution)
    hedge = fleet.sends(execution.wake(due_ms))[0]
    assert hedge.sub_request.hedge
    commands = execution.receive(fleet.success_reply(hedge), due_ms + 1)
    cancelled = [one.call for one in fleet.cancels(commands)]
    assert cancelled == [first.sub_request.call]
    answer = fleet.answer_of(commands)
    assert fleet.coverage_of(answer).complete
    assert answer.extra_load == 1


def test_no_hedge_without_budget():
    execution, commands = begin(extra_load_fraction=0)
    for send in fleet.sends(commands)[1:]:
        execution.receive(fleet.success_reply(send), 5)
    commands = execution.wake(next_due_ms(execution))
    assert not commands


def test_snapshot_gone_everywhere_restarts_on_another():
    shards = fleet.shard_map(3)
    published = fleet.workload(
        fleet.snapshot('S2', 2, shards),
        fleet.snapshot('S1', 1, shards),
    )
    execution, commands = begin(published)
    first, second, third = fleet.sends(commands)
    execution.receive(fleet.success_reply(second), 1)
    for backend in first.sub_request.replicas:
        reply = fleet.refusal_reply(
            first, Reason.SNAPSHOT_GONE, backend=backend
        )
        commands = execution.receive(reply, 2)
        first = fleet.sends(commands)[0]
    cancelled = [one.call for one in fleet.cancels(commands)]
    assert cancelled == [third.sub_request.call]
    for send in fleet.sends(commands):
        assert send.sub_request.pin.snapshot == 'S1'
        commands = execution.receive(fleet.success_reply(send), 3)
    answer = fleet.answer_of(commands)
    assert {one.record for one in answer.records} == {
        's00@S1',
        's01@S1',
        's02@S1',
    }
