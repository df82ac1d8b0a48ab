"""Relay runs: limits on attempts, times of reports and their contents."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.gateway.records import (
    greatest_records,
    records_in_common_answer,
)
from dandelionstage.relaying.messages import RelayRequest
from dandelionstage.relaying.relay_run import RelayRun

from .gateway_harness import (
    GatewayHarness,
    failed_reply,
    success_reply,
    shed_reply,
)

SHARDS = ('s0', 's1', 's2')
ANSWER_MS = 100.0


def make_request(**changes):
    fields = {
        'number': 7,
        'method': b'GET',
        'target': b'/a/b',
        'host': 'h.example',
        'headers': [(b'host', b'h.example'), (b'x-id', b'r1')],
        'body': b'',
        'request_id': b'r1',
        'route': 'q',
        'attempts': 2,
        'shards': SHARDS,
        'record_count': 2,
        'least_coverage': 0.9,
        'answer_left_ms': ANSWER_MS,
        'left_ms': 1500.0,
        **changes,
    }
    return RelayRequest(**fields)


class RelayHarness:
    """A relay run on fake servers and the reports that it sends."""

    def __init__(self, unread_ms=0.0, replicas=2, **changes):
        servers = dict.fromkeys(SHARDS, replicas)
        self.gateway = GatewayHarness(
            servers, budget=changes.pop('budget', 1000.0)
        )
        self.reports = []
        self.run = RelayRun(
            make_request(**changes),
            unread_ms,
            self.gateway.context,
            self.reports.append,
        )

    def answer(self, *shards, body=b''):
        for shard in shards:
            self.gateway.pending(shard)[0].end(
                success_reply(body, 'stamp-{0}'.format(shard))
            )

    @property
    def stamps(self):
        return {part.stamp for report in self.reports for part in report.parts}


def test_all_parts_are_reported_together_and_the_run_ends():
    relay = RelayHarness()
    relay.run.start()
    relay.answer(*SHARDS)
    assert [report.is_last for report in relay.reports] == [True]
    assert relay.stamps == {'stamp-s0', 'stamp-s1', 'stamp-s2'}
    assert relay.run.is_over


def test_only_the_greatest_records_of_a_part_are_reported():
    relay = RelayHarness()
    relay.run.start()
    records = [bytes((number,)).rjust(16) for number in (3, 9, 5)]
    relay.answer(*SHARDS, body=b''.join((*records, b'rest')))
    reported = {part.records for part in relay.reports[0].parts}
    assert reported == {b''.join((records[1], records[2]))}


def test_parts_are_reported_before_the_target_and_late_parts_after_it():
    relay = RelayHarness()
    relay.run.start()
    relay.answer('s0', 's1')
    relay.gateway.timers.advance(ANSWER_MS - 1)
    assert relay.stamps == {'stamp-s0', 'stamp-s1'}
    assert not relay.run.is_over
    first = relay.gateway.submitted('s2')[0]
    assert first.server in relay.reports[-1].tried['s2']
    relay.gateway.timers.advance(ANSWER_MS + 20)
    relay.answer('s2')
    assert relay.reports[-1].is_last
    assert 'stamp-s2' in relay.stamps


def test_no_part_is_reported_twice():
    relay = RelayHarness()
    relay.run.start()
    relay.answer('s0')
    relay.gateway.timers.advance(ANSWER_MS + 5)
    relay.answer('s1', 's2')
    stamps = [part.stamp for report in relay.reports for part in report.parts]
    assert sorted(stamps) == ['stamp-s0', 'stamp-s1', 'stamp-s2']


def test_tried_servers_are_reported_when_none_answers():
    relay = RelayHarness()
    relay.run.start()
    relay.answer('s0', 's1')
    for _ in range(2):
        relay.gateway.pending('s2')[0].end(failed_reply())
    report = relay.reports[-1]
    assert report.is_last
    assert set(report.tried['s2']) == {'s2-0', 's2-1'}


def test_attempts_stay_within_the_limit_of_the_route():
    relay = RelayHarness(attempts=1)
    relay.run.start()
    relay.gateway.pending('s2')[0].end(shed_reply())
    relay.gateway.timers.advance(2000)
    assert len(relay.gateway.submitted('s2')) == 1


def test_nothing_is_sent_after_the_closing_report():
    """The VM that received the query counts the attempts from then on."""
    relay = RelayHarness(replicas=3, attempts=3)
    relay.run.start()
    relay.answer('s0', 's1')
    relay.gateway.timers.advance(ANSWER_MS)
    assert relay.reports[-1].is_closed
    tried = set(relay.reports[-1].tried['s2'])
    for attempt in relay.gateway.pending('s2'):
        attempt.deadline_ms = 1500.0
        attempt.end(failed_reply())
    assert len(tried) == 2
    assert {each.server for each in relay.gateway.submitted('s2')} == tried


def test_last_report_tells_where_requests_wait():
    harness = RelayHarness()
    harness.run.start()
    harness.gateway.replicas.for_service('s0')[0].queue.raise_to(300, 0)
    for replica in harness.gateway.replicas.for_service('s1'):
        replica.queue.raise_to(40, 0)
    harness.answer(*SHARDS)
    waits_ms = harness.reports[-1].waits_ms
    # The answer of one of the servers has shown that it waited less there.
    assert waits_ms.keys() == {'s1'}
    assert 20 <= waits_ms['s1'] <= 40


def test_report_at_the_hedge_time_is_not_closing():
    relay = RelayHarness()
    relay.run.start()
    relay.gateway.timers.advance(ANSWER_MS / 2)
    assert not relay.reports[-1].is_closed


def test_extra_attempts_use_the_budget_of_this_vm():
    relay = RelayHarness(budget=0.0)
    relay.run.start()
    relay.gateway.timers.advance(ANSWER_MS)
    assert all(len(relay.gateway.submitted(shard)) == 1 for shard in SHARDS)


def test_time_that_a_request_waited_unread_is_subtracted():
    """A VM that resumes after a pause starts nothing that is already late."""
    assert RelayHarness(unread_ms=2000.0).run.is_too_late
    assert not RelayHarness().run.is_too_late


def test_cancelled_query_leaves_no_attempt_pending():
    relay = RelayHarness()
    relay.run.start()
    relay.run.cancel()
    assert not any(relay.gateway.pending(shard) for shard in SHARDS)
    relay.gateway.timers.advance(2000)
    assert not relay.reports


def test_servers_get_the_deadline_of_the_caller():
    relay = RelayHarness(budget=0.0)
    relay.run.start()
    deadlines = {each.deadline_ms for each in relay.gateway.pending('s0')}
    assert deadlines == {1500.0}


@given(
    st.lists(
        st.lists(st.binary(min_size=16, max_size=16), max_size=6).map(b''.join),
        max_size=6,
    ),
    st.integers(1, 5),
)
def test_merged_parts_make_the_answer_of_whole_parts(bodies, count):
    merged = records_in_common_answer(bodies, count)
    assert greatest_records(merged, count) == greatest_records(bodies, count)
    assert sum(map(len, merged)) <= sum(map(len, bodies))


def test_parts_are_merged_until_a_report_has_closed_the_run():
    """Later parts may be used without each other."""
    relay = RelayHarness(takes_merged=True)
    relay.run.start()
    relay.answer('s0', body=record(9) * 2)
    relay.answer('s1', body=record(1) * 2)
    relay.gateway.timers.advance(ANSWER_MS)
    relay.answer('s2', body=record(2) * 2)
    merged, late = (report for report in relay.reports if report.parts)
    assert merged.is_merged
    assert [part.records for part in merged.parts] == [record(9) * 2, b'']
    assert not late.is_merged
    assert late.parts[0].records == record(2) * 2


def record(number):
    return bytes((number,)) * 16
