"""Shards that this VM asks for another: bounded, reported in time, truthful."""

from dandelionstage.relaying.messages import Ask
from dandelionstage.relaying.relay_run import RelayRun

from .gateway_harness import (
    GatewayHarness,
    failed_reply,
    success_reply,
    shed_reply,
)

SHARDS = ('s0', 's1', 's2')
ANSWER_MS = 100.0


def make_ask(**changes):
    terms = {
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
    return Ask(**terms)


class Helper:
    """A VM that was asked, and what it reports."""

    def __init__(self, unread_ms=0.0, replicas=2, **changes):
        servers = dict.fromkeys(SHARDS, replicas)
        self.world = GatewayHarness(
            servers, budget=changes.pop('budget', 1000.0)
        )
        self.reports = []
        self.run = RelayRun(
            make_ask(**changes),
            unread_ms,
            self.world.context,
            self.reports.append,
        )

    def answer(self, *shards, body=b''):
        for shard in shards:
            self.world.pending(shard)[0].end(
                success_reply(body, 'stamp-{0}'.format(shard))
            )

    @property
    def stamps(self):
        return {part.stamp for report in self.reports for part in report.parts}


def test_all_parts_are_reported_at_once_and_nothing_stays_out():
    helper = Helper()
    helper.run.start()
    helper.answer(*SHARDS)
    assert [report.is_last for report in helper.reports] == [True]
    assert helper.stamps == {'stamp-s0', 'stamp-s1', 'stamp-s2'}
    assert helper.run.is_over


def test_only_the_greatest_records_of_a_part_are_passed_on():
    helper = Helper()
    helper.run.start()
    records = [bytes((number,)).rjust(16) for number in (3, 9, 5)]
    helper.answer(*SHARDS, body=b''.join((*records, b'rest')))
    passed_on = {part.records for part in helper.reports[0].parts}
    assert passed_on == {b''.join((records[1], records[2]))}


def test_what_is_there_is_reported_before_the_target_and_late_parts_after():
    helper = Helper()
    helper.run.start()
    helper.answer('s0', 's1')
    helper.world.timers.advance(ANSWER_MS - 1)
    assert helper.stamps == {'stamp-s0', 'stamp-s1'}
    assert not helper.run.is_over
    first = helper.world.sent('s2')[0]
    assert first.server in helper.reports[-1].tried['s2']
    helper.world.timers.advance(ANSWER_MS + 20)
    helper.answer('s2')
    assert helper.reports[-1].is_last
    assert 'stamp-s2' in helper.stamps


def test_no_part_is_reported_twice():
    helper = Helper()
    helper.run.start()
    helper.answer('s0')
    helper.world.timers.advance(ANSWER_MS + 5)
    helper.answer('s1', 's2')
    stamps = [part.stamp for report in helper.reports for part in report.parts]
    assert sorted(stamps) == ['stamp-s0', 'stamp-s1', 'stamp-s2']


def test_servers_sent_to_are_told_when_none_answers():
    helper = Helper()
    helper.run.start()
    helper.answer('s0', 's1')
    for _ in range(2):
        helper.world.pending('s2')[0].end(failed_reply())
    report = helper.reports[-1]
    assert report.is_last
    assert set(report.tried['s2']) == {'s2-0', 's2-1'}


def test_more_servers_than_the_route_allows_are_never_asked():
    helper = Helper(attempts=1)
    helper.run.start()
    helper.world.pending('s2')[0].end(shed_reply())
    helper.world.timers.advance(2000)
    assert len(helper.world.sent('s2')) == 1


def test_nothing_is_sent_once_it_was_told_what_was_tried():
    """The VM that has the query counts the attempts from then on."""
    helper = Helper(replicas=3, attempts=3)
    helper.run.start()
    helper.answer('s0', 's1')
    helper.world.timers.advance(ANSWER_MS)
    assert helper.reports[-1].is_closed
    told = set(helper.reports[-1].tried['s2'])
    for attempt in helper.world.pending('s2'):
        attempt.deadline_ms = 1500.0
        attempt.end(failed_reply())
    assert len(told) == 2
    assert {each.server for each in helper.world.sent('s2')} == told


def test_what_is_told_when_it_hedges_is_not_all():
    helper = Helper()
    helper.run.start()
    helper.world.timers.advance(ANSWER_MS / 2)
    assert not helper.reports[-1].is_closed


def test_extra_attempts_come_from_this_vms_budget():
    helper = Helper(budget=0.0)
    helper.run.start()
    helper.world.timers.advance(ANSWER_MS)
    assert all(len(helper.world.sent(shard)) == 1 for shard in SHARDS)


def test_time_that_a_message_lay_unread_is_taken_off():
    """A VM that was frozen starts nothing that is late already."""
    assert Helper(unread_ms=2000.0).run.is_hopeless
    assert not Helper().run.is_hopeless


def test_a_dropped_query_leaves_nothing_out():
    helper = Helper()
    helper.run.start()
    helper.run.cancel()
    assert not any(helper.world.pending(shard) for shard in SHARDS)
    helper.world.timers.advance(2000)
    assert not helper.reports


def test_servers_get_no_more_than_the_callers_time():
    helper = Helper(budget=0.0)
    helper.run.start()
    deadlines = {each.deadline_ms for each in helper.world.pending('s0')}
    assert deadlines == {1500.0}
