"""Checks that no answer mixes queries or snapshots or misstates coverage.

Two queries run at once against a simulated fleet, and hypothesis selects the
events: replies in any order, repeated, swapped, without a part or with wrong
ids; backend servers that switch or drop snapshots; shards that are split.
"""

from dataclasses import replace
from itertools import chain, count
from random import Random
from types import MappingProxyType

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from dandelionstage.model.messages import Part, Pin, Record, SubReply
from dandelionstage.model.verdict import Reason, Run, Verdict
from dandelionstage.query.execution import QueryExecution
from dandelionstage.query.messages import Finish, SendSubRequest
from dandelionstage.query.shared_state import SharedQueryState

from . import query_fleet as fleet

OLD_MAP = MappingProxyType(
    {'s0': ('b0', 'b1'), 's1': ('b1', 'b2'), 's2': ('b2', 'b0')},
)
# Shard s0 is split: s3 now holds half of it, on another backend server.
NEW_MAP = MappingProxyType(
    {**OLD_MAP, 's0': ('b0', 'b3'), 's3': ('b3', 'b1')},
)
SNAPSHOTS = MappingProxyType(
    {
        'S3': fleet.snapshot('S3', 2, dict(NEW_MAP)),
        'S2': fleet.snapshot('S2', 2, dict(NEW_MAP)),
        'S1': fleet.snapshot('S1', 1, dict(OLD_MAP)),
    },
)
BACKENDS = ('b0', 'b1', 'b2', 'b3')
REFUSALS = sorted(set(Reason) - {Reason.OK}, key=lambda one: one.value)
PICK = st.integers(min_value=0, max_value=50)


def expected_records(snapshot, shard):
    """List the records of a shard; shards s0 and s3 have one in common."""
    ids = [f'{shard}-own', 'split' if shard in {'s0', 's3'} else f'{shard}-2']
    return tuple(Record(name, snapshot) for name in ids)


class FaultyFleet(RuleBasedStateMachine):
    """Runs two queries under faults and checks their answers.

    The records of an answer are those of its covered shards under its pin,
    and no command follows it.  Each query is answered by its deadline.
    """

    @initialize(
        minimum=st.sampled_from((0, 0.6, 1)),
        extra=st.sampled_from((0, 0.05, 1)),
        newest=st.sampled_from(('S1', 'S2', 'S3')),
    )
    def begin(self, minimum, extra, newest):
        self.now_ms = 0
        self.held = {backend: {'S1', 'S2', 'S3'} for backend in BACKENDS}
        names = list(SNAPSHOTS)
        self.published = names[names.index(newest) :]
        self.pending = []
        self.old_replies = []
        self.ran_requests = set()
        self.answers = [None, None]
        numbers = count(1)
        self.shared = SharedQueryState(
            route=fleet.route,
            workload_of=self._workload,
            new_call=lambda: f'call-{next(numbers)}',
            random=Random(0),
        )
        self.minimum = minimum
        query = fleet.query(minimum_coverage=minimum, extra_load_fraction=extra)
        self.executions = [
            QueryExecution(replace(query, request=f'request-{number}'), shared)
            for number, shared in enumerate((self.shared, self.shared))
        ]
        for number, execution in enumerate(self.executions):
            self._apply(number, execution.start(self.now_ms))

    @precondition(lambda it: it.pending)
    @rule(pick=PICK)
    def answer_normally(self, pick):
        number, send = self._take(pick)
        self._deliver(number, self._serve(send))

    @precondition(lambda it: it.pending)
    @rule(pick=PICK)
    def answer_twice(self, pick):
        number, send = self._take(pick)
        reply = self._serve(send)
        self._deliver(number, reply)
        self._deliver(number, reply)

    @precondition(lambda it: it.old_replies)
    @rule(pick=PICK)
    def repeat_old_reply(self, pick):
        number, reply = self.old_replies[pick % len(self.old_replies)]
        self._deliver(number, reply)

    @precondition(lambda it: len(it.pending) > 1)
    @rule(pick=PICK, other=PICK)
    def swap_two_replies(self, pick, other):
        number, send = self._take(pick)
        to_number, to_send = self._take(other)
        reply, to_reply = self._serve(send), self._serve(to_send)
        self._deliver(number, replace(to_reply, call=reply.call))
        self._deliver(to_number, replace(reply, call=to_reply.call))

    @precondition(lambda it: it.pending)
    @rule(pick=PICK)
    def deliver_to_the_other_query(self, pick):
        number, send = self.pending[pick % len(self.pending)]
        self._deliver(1 - number, self._serve(send))

    @precondition(lambda it: it.pending)
    @rule(pick=PICK, revision=st.booleans())
    def answer_from_another_pin(self, pick, revision):
        number, send = self._take(pick)
        pin = send.sub_request.pin
        wrong_pin = Pin(pin.snapshot, pin.shard_map_revision + 1)
        if not revision:
            wrong_pin = Pin('S9', pin.shard_map_revision)
        self._deliver(number, self._make_reply(send, pin=wrong_pin))

    @precondition(lambda it: it.pending)
    @rule(pick=PICK, backend=st.sampled_from((*BACKENDS, 'b9')))
    def answer_from_another_backend(self, pick, backend):
        number, send = self._take(pick)
        replicas = SNAPSHOTS[send.sub_request.pin.snapshot].shards
        shard = send.sub_request.owner_key.shard
        if backend in replicas[shard]:
            self._deliver(number, self._serve(send))
        else:
            self._deliver(number, self._make_reply(send, backend=backend))

    @precondition(lambda it: it.pending)
    @rule(pick=PICK)
    def answer_from_another_owner(self, pick):
        number, send = self.pending[pick % len(self.pending)]
        reply = self._make_reply(send, backend=send.sub_request.replicas[0])
        self._deliver(number, replace(reply, answered_by='vm-9'))

    @precondition(lambda it: it.pending)
    @rule(pick=PICK)
    def answer_without_a_part(self, pick):
        number, send = self._take(pick)
        reply = self._serve(send)
        self._deliver(number, replace(reply, part=None))

    @precondition(lambda it: it.pending)
    @rule(
        pick=PICK,
        reason=st.sampled_from(REFUSALS),
        run=st.sampled_from((Run.NOT_RUN, Run.MAY_HAVE_RUN)),
        names_backend=st.booleans(),
    )
    def refuse(self, pick, reason, run, names_backend):
        number, send = self._take(pick)
        backend = send.sub_request.replicas[0] if names_backend else None
        self._deliver(number, fleet.refusal_reply(send, reason, run, backend))

    @rule(backend=st.sampled_from(BACKENDS), name=st.sampled_from(('S1', 'S3')))
    def drop_snapshot_on_one_backend(self, backend, name):
        self.held[backend].discard(name)

    @rule(name=st.sampled_from(('S1', 'S2', 'S3')))
    def drop_snapshot_everywhere(self, name):
        for held in self.held.values():
            held.discard(name)

    @rule()
    def publish_next_snapshot(self):
        names = tuple(SNAPSHOTS)
        newest = names.index(self.published[0])
        if newest:
            self.published.insert(0, names[newest - 1])

    @rule(elapsed_ms=st.sampled_from((1, 20, 60, 300)))
    def advance_time(self, elapsed_ms):
        self.now_ms += elapsed_ms
        for number, execution in enumerate(self.executions):
            self._apply(number, execution.wake(self.now_ms))

    def teardown(self):
        if not hasattr(self, 'executions'):
            return
        self.advance_time(fleet.DEADLINE_MS)
        for number, answer in enumerate(self.answers):
            assert answer is not None, f'query {number} was not answered'

    def _workload(self, _):
        return fleet.workload(*(SNAPSHOTS[name] for name in self.published))

    def _take(self, pick):
        return self.pending.pop(pick % len(self.pending))

    def _serve(self, send):
        sub_request = send.sub_request
        backend = sub_request.replicas[0]
        held = tuple(sorted(self.held[backend]))
        pin = sub_request.pin
        shards = SNAPSHOTS[pin.snapshot].shards
        if pin.snapshot not in held:
            reply = fleet.refusal_reply(
                send, Reason.SNAPSHOT_GONE, backend=backend
            )
            return replace(reply, held_snapshots=held)
        assert backend in shards[sub_request.owner_key.shard]
        self.ran_requests.add(sub_request.request)
        return replace(self._make_reply(send), held_snapshots=held)

    def _make_reply(self, send, pin=None, backend=None):
        """Make a reply with a part.

        A part with another pin or backend server gets forged records.
        """
        sub_request = send.sub_request
        shard = sub_request.owner_key.shard
        self.ran_requests.add(sub_request.request)
        records = expected_records(sub_request.pin.snapshot, shard)
        if pin or backend:
            records = (Record('forged', 'forged'),)
        sender = backend or sub_request.replicas[0]
        part = Part(sender, shard, pin or sub_request.pin, records)
        verdict = Verdict(Run.RAN, Reason.OK)
        call = sub_request.call
        return SubReply(call, verdict, send.vm, part, sub_request.replicas[0])

    def _deliver(self, number, reply):
        self.old_replies.append((number, reply))
        commands = self.executions[number].receive(reply, self.now_ms)
        self._apply(number, commands)

    def _apply(self, number, commands):
        for command in commands:
            assert self.answers[number] is None, 'command after the answer'
            if isinstance(command, SendSubRequest):
                assert self.now_ms < fleet.DEADLINE_MS, (
                    'sent after the deadline'
                )
                self.pending.append((number, command))
            elif isinstance(command, Finish):
                self.answers[number] = command.answer
                self._check_answer(number, command.answer)

    def _check_answer(self, number, answer):
        pin, coverage = answer.pin, answer.coverage
        snapshot = SNAPSHOTS[pin.snapshot]
        assert pin.shard_map_revision == snapshot.shard_map_revision
        covered = set(snapshot.shards) - set(coverage.missing)
        assert coverage.answered == len(covered)
        assert coverage.total == len(snapshot.shards)
        if answer.verdict.run is Run.NOT_RUN:
            assert f'request-{number}' not in self.ran_requests
            assert number not in {owner for owner, _ in self.pending}
        enough = coverage.answered and coverage.fraction >= self.minimum
        assert (answer.verdict.reason is Reason.OK) == bool(enough)
        if not enough:
            assert not answer.records
            return
        parts = (expected_records(pin.snapshot, shard) for shard in covered)
        expected = {one.record for one in chain.from_iterable(parts)}
        found = [one.record for one in answer.records]
        assert sorted(found) == sorted(expected)
        assert {one.body_json for one in answer.records} == {pin.snapshot}


FaultyFleet.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
TestConsistency = FaultyFleet.TestCase
