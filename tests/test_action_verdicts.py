"""Tests of the verdicts derived from each reply, loss or earlier verdict.

An action that may have run must never be reported as "not run": the caller
would send it again.
"""

import json
from dataclasses import replace
from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from dandelionstage.actions.messages import FinishAction, Start
from dandelionstage.backend.exchange import NoReply, Reply
from dandelionstage.backend.pool import outcome_without_reply
from dandelionstage.backend.replies import read_reply
from dandelionstage.model.contract import Priority
from dandelionstage.model.messages import (
    OwnerKey,
    SubReply,
    SubRequest,
)
from dandelionstage.model.verdict import (
    Reason,
    Run,
    Verdict,
    combine_verdicts,
    not_run,
)
from tests.action_fakes import PIN, make_call, make_execution, take_only

ACTION_SUB_REQUEST = SubRequest(
    call='c-1',
    request='r-1',
    customer='vysocina',
    owner_key=OwnerKey('dilna', 's-1', 'zdar'),
    pin=PIN,
    replicas=('b-1',),
    priority=Priority.URGENT,
    remaining_ms=500,
    query_json='{}',
    action=True,
)
QUERY_SUB_REQUEST = replace(ACTION_SUB_REQUEST, action=False)
REASONS = (
    'draining',
    'cold',
    'overloaded',
    'snapshot_gone',
    'shard_moved',
    'deadline_expired',
    'cancelled',
    'error',
    'no such word',
)
RUNS = ('not_run', 'may_have_run', 'ran', 'no such word', None)
STATUSES = (200, 400, 404, 409, 429, 500, 503, 504)

verdicts = st.builds(Verdict, st.sampled_from(Run), st.sampled_from(Reason))


def read_action_reply(status, body):
    """Read a reply to the action: its outcome, or why it is not valid."""
    return read_reply(ACTION_SUB_REQUEST, 'b-1', 0, Reply(status, body, 1))


@pytest.mark.parametrize(
    ('status', 'reason', 'run'),
    list(product(STATUSES, REASONS, RUNS)),
)
def test_not_run_requires_an_explicit_refusal(status, reason, run):
    body = {'call': 'c-1', 'backend': 'b-1', 'reason': reason, 'run': run}
    outcome = read_action_reply(status, json.dumps(body).encode())
    is_refusal = status != 200 and run in {'not_run', 'may_have_run'}
    assert isinstance(outcome, Failure) != is_refusal
    if is_refusal:
        assert outcome.unwrap().verdict.run is Run(run)
        assert outcome.unwrap().part is None


@given(st.binary(max_size=80), st.sampled_from(STATUSES))
def test_random_bytes_are_not_a_reply(body, status):
    assert isinstance(read_action_reply(status, body), Failure)


_json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(['call', 'backend', 'records', 'run', 'outcome']),
            inner,
            max_size=4,
        )
    ),
)


@given(_json_values, st.sampled_from(STATUSES), st.booleans())
def test_unexpected_json_is_a_failure(body, status, is_action):
    sub_request = ACTION_SUB_REQUEST if is_action else QUERY_SUB_REQUEST
    reply = Reply(status, json.dumps(body).encode(), 1)
    outcome = read_reply(sub_request, 'b-1', 0, reply)
    assert isinstance(outcome, Failure)


@pytest.mark.parametrize('record', [{}, {'record': 1}, {'record': None}])
def test_record_without_an_id_is_a_failure(record):
    body = {
        'call': 'c-1',
        'backend': 'b-1',
        'shard': 's-1',
        'snapshot': 'n-1',
        'shard_map_revision': 1,
        'records': [{'record': 'x'}, record],
    }
    reply = Reply(200, json.dumps(body).encode(), 1)
    assert isinstance(read_reply(QUERY_SUB_REQUEST, 'b-1', 0, reply), Failure)


@pytest.mark.parametrize('reason', Reason)
@pytest.mark.parametrize('sent_at_ms', [None, 0.0, 1e9])
def test_lost_request_is_not_run_only_if_nothing_was_sent(reason, sent_at_ms):
    outcome = outcome_without_reply(
        ACTION_SUB_REQUEST, 'b-1', 0, NoReply(reason, sent_at_ms)
    )
    assert outcome.verdict.reason is reason
    assert (outcome.verdict.run is Run.NOT_RUN) == (sent_at_ms is None)
    assert outcome.verdict.run is not Run.RAN


@given(st.lists(verdicts, max_size=8))
def test_action_combines_the_verdicts_of_its_attempts(attempts):
    running = make_execution(Start('a-1', make_call('t-1'), 1000))
    command = take_only(running.start(0))
    received = []
    for verdict in attempts:
        if isinstance(command, FinishAction):
            break
        received.append(verdict)
        reply = SubReply(
            call=command.sub_request.call,
            verdict=verdict,
            answered_by=command.vm,
            backend=command.sub_request.replicas[0],
        )
        command = take_only(running.receive(reply, 1))
    if isinstance(command, FinishAction):
        combined = not_run(Reason.OK)
        for verdict in received:
            combined = combine_verdicts(combined, verdict)
        assert command.outcome.verdict.run is combined.run
    may_have_run = [one for one in received if one.run is not Run.NOT_RUN]
    assert may_have_run in ([], received[-1:])
