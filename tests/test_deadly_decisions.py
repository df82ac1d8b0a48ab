"""Which requests are taken to end servers, from when servers ended.

Innocent requests lose many servers at a time, by one cause, and are answered
as soon as they reach a server that is up.
"""

import contextlib
from functools import partial
from random import Random

import msgspec
import pytest

from dandelionstage.placing.deadly_requests import (
    TRIAL_MS,
    DeadlyRequests,
    Verdict,
)
from dandelionstage.placing.server_ends import EndReport, RequestReport
from dandelionstage.spread.deadly_messages import PREFIX, decode, encode

DIGEST = b'd' * 16
HOUR_MS = 3_600_000
WORK_MS = 40


def digest_of(number):
    return number.to_bytes(16, 'big')


def record_ends(table, start_ms, times, digest=DIGEST, gap_ms=100):
    """Let a server end under a request several times in succession."""
    for each in range(times):
        sent_ms = start_ms + each * gap_ms
        table.record_end(digest, 1, sent_ms, sent_ms + WORK_MS)
    return start_ms + times * gap_ms


def copy_reports(source, target, now_ms, delay_ms=0):
    reports = source.choose_reports(now_ms, Random(1))
    target.apply_reports(decode(encode(reports)), now_ms + delay_ms)


def test_request_is_deadly_after_three_ends_in_succession():
    table = DeadlyRequests(Random(1))
    now_ms = record_ends(table, 0, 2)
    assert table.verdict(DIGEST, now_ms) is Verdict.UNSUSPECTED
    now_ms = record_ends(table, now_ms, 1)
    assert table.verdict(DIGEST, now_ms) is Verdict.DEADLY
    assert table.verdict(digest_of(1), now_ms) is Verdict.UNSUSPECTED


def test_servers_that_end_together_do_not_make_a_request_deadly():
    """Guards against blaming a request that was beside a deadly one."""
    table = DeadlyRequests(Random(1))
    for server in range(24):
        table.record_end(DIGEST, 1, server, 50 + server / 2)
    assert table.verdict(DIGEST, 100) is Verdict.SUSPECT
    # It is sent again, and a server that is up answers.
    table.record_answer(DIGEST, 200)
    assert table.verdict(DIGEST, 200) is Verdict.UNSUSPECTED
    assert not table.has_ends(DIGEST)


def test_ends_before_an_answer_do_not_count():
    table = DeadlyRequests(Random(1))
    now_ms = record_ends(table, 0, 2)
    table.record_answer(DIGEST, now_ms)
    now_ms = record_ends(table, now_ms, 2)
    assert table.verdict(DIGEST, now_ms) is not Verdict.DEADLY
    # One that was sent before the answer, to a server that ends after it.
    table.record_answer(DIGEST, now_ms)
    table.record_end(DIGEST, 3, now_ms - 1, now_ms + 10)
    assert table.verdict(DIGEST, now_ms + 10) is Verdict.UNSUSPECTED


def test_crashes_in_series_under_repeats_blame_no_request():
    """A third of 60 servers crash within a second; callers repeat at once.

    Each request is at three servers at most, and repeats reach one that is up
    with the same probability as any other.
    """
    random = Random(7)
    crash_ms = {server: random.uniform(0, 1000) for server in range(20)}
    table = DeadlyRequests(Random(1))
    ends = 0
    for number in range(3000):
        sent_ms = random.uniform(0, 1000)
        while sent_ms < 2000:
            ended_ms = crash_ms.get(random.randrange(60), 9999)
            if ended_ms >= sent_ms + WORK_MS:
                table.record_answer(digest_of(number), sent_ms + WORK_MS)
                break
            if ended_ms >= sent_ms:
                ends += 1
                table.record_end(digest_of(number), 1, sent_ms, ended_ms)
            # A server that is down refuses connections at once.
            sent_ms = max(ended_ms, sent_ms + 2)
        verdict = table.verdict(digest_of(number), 2000)
        assert verdict is Verdict.UNSUSPECTED
    assert ends


def test_other_vms_reject_a_deadly_request():
    table, other = DeadlyRequests(Random(1)), DeadlyRequests(Random(2))
    # Trials follow one another without a gap, and the network adds delays.
    for each in range(3):
        table.record_end(DIGEST, 1, each * WORK_MS, (each + 1) * WORK_MS)
        now_ms = (each + 1) * WORK_MS
        copy_reports(table, other, now_ms, delay_ms=30 - 10 * each)
    assert other.verdict(DIGEST, now_ms) is Verdict.DEADLY
    # A VM that learns of it last, and knows only that, rejects it too.
    late = DeadlyRequests(Random(3))
    copy_reports(other, late, now_ms + 5000)
    assert late.verdict(DIGEST, now_ms + 5000) is Verdict.DEADLY


def test_ends_at_several_vms_count_together():
    """The request returns at another VM each time."""
    tables = [DeadlyRequests(Random(seed)) for seed in range(3)]
    for number, table in enumerate(tables):
        record_ends(table, number * 1000, 1)
        for other in tables:
            copy_reports(table, other, number * 1000 + 500)
    for table in tables:
        assert table.verdict(DIGEST, 3000) is Verdict.DEADLY


def test_simultaneous_ends_at_several_vms_do_not_add_up():
    """A request that many callers send loses servers at many VMs at once."""
    tables = [DeadlyRequests(Random(seed)) for seed in range(5)]
    for table in tables:
        table.record_end(DIGEST, 2, 0, 40)
    for table in tables:
        for other in tables:
            copy_reports(table, other, 60)
    for table in tables:
        assert table.verdict(DIGEST, 60) is Verdict.SUSPECT
    tables[0].record_answer(DIGEST, 100)
    for table in tables[1:]:
        copy_reports(tables[0], table, 110)
        assert table.verdict(DIGEST, 110) is Verdict.UNSUSPECTED


def test_reports_may_arrive_late_twice_and_in_any_order():
    table, other = DeadlyRequests(Random(1)), DeadlyRequests(Random(2))
    record_ends(table, 0, 1)
    first = table.choose_reports(100, Random(1))
    table.record_answer(DIGEST, 150)
    second = table.choose_reports(160, Random(1))
    for reports in (first, second, first, first):
        other.apply_reports(reports, 200)
    # An old copy counts once at most: it is known by its number.
    assert other.verdict(DIGEST, 200) is Verdict.UNSUSPECTED
    changes = []
    other.on_change = lambda digest, is_own: changes.append(digest)
    other.apply_reports(first, 300)
    other.apply_reports(first, 400)
    assert len(changes) <= 1


def test_other_vms_wait_for_a_trial():
    table, other = DeadlyRequests(Random(1)), DeadlyRequests(Random(2))
    table.record_end(DIGEST, 20, 0, 50)
    assert table.verdict(DIGEST, 60) is Verdict.SUSPECT
    table.begin_trial(DIGEST, 60)
    copy_reports(table, other, 61)
    for each in (table, other):
        assert each.verdict(DIGEST, 62) is Verdict.ON_TRIAL
    # The VM may be gone.
    assert other.verdict(DIGEST, 62 + TRIAL_MS) is Verdict.SUSPECT


def test_news_of_a_trial_end_with_it_however_late_copies_arrive():
    """Regression: each copy prolonged the wait, so news went on for ever."""
    tables = [DeadlyRequests(Random(seed)) for seed in range(4)]
    changes = []
    for each in tables:
        each.on_change = partial(_note_change, changes)
    tables[0].record_end(DIGEST, 20, 0, 50)
    tables[0].begin_trial(DIGEST, 60)
    now_ms = 60
    for _ in range(40):
        for number, table in enumerate(tables):
            copy_reports(table, tables[number - 1], now_ms, delay_ms=29)
            now_ms += 29
    assert len(changes) <= 2 * len(tables)
    for table in tables:
        assert table.verdict(DIGEST, now_ms) is Verdict.SUSPECT


def _note_change(changes, digest, is_own):
    changes.append(digest)


def test_deadly_request_is_tried_once_after_an_hour():
    table = DeadlyRequests(Random(1))
    record_ends(table, 0, 3)
    assert table.verdict(DIGEST, HOUR_MS) is Verdict.DEADLY
    assert table.deadly_left_ms(DIGEST, HOUR_MS / 2) > HOUR_MS / 3
    later_ms = HOUR_MS + 1000
    assert table.verdict(DIGEST, later_ms) is Verdict.SUSPECT
    record_ends(table, later_ms, 1)
    assert table.verdict(DIGEST, later_ms + 1000) is Verdict.DEADLY


def test_memory_is_bounded_under_many_distinct_requests():
    """Guards against forgetting a deadly request in a flood of others."""
    table = DeadlyRequests(Random(1))
    record_ends(table, 0, 3)
    suspect = digest_of(1)
    table.record_end(suspect, 2, 0, 40)
    table.record_end(suspect, 2, 50, 90)
    for number in range(2, 20_000):
        table.record_end(digest_of(number), 1, number, number + 1)
    assert len(table) <= 1024
    assert table.verdict(DIGEST, 20_000) is Verdict.DEADLY
    assert table.verdict(suspect, 20_000) is Verdict.SUSPECT


def test_reports_of_unknown_answers_are_not_kept():
    table = DeadlyRequests(Random(1))
    table.apply_reports(
        [RequestReport(digest_of(each), (), 5, 0, 0) for each in range(5000)],
        10,
    )
    assert not len(table)


def test_message_fits_into_one_packet():
    table = DeadlyRequests(Random(1))
    for number in range(100):
        record_ends(table, 0, 10, digest_of(number))
    assert len(encode(table.choose_reports(1500, Random(1)))) <= 1400


@pytest.mark.parametrize(
    'report',
    [
        RequestReport(b'short', (), None, 0, 0),
        RequestReport(DIGEST, (), -1, 0, 0),
        RequestReport(DIGEST, (), None, 0, 10_000),
        RequestReport(DIGEST, (EndReport(1, 0, 5, 4, 1),), None, 0, 0),
        RequestReport(DIGEST, (EndReport(1, 1, 4, 5, 1),), None, 0, 0),
        RequestReport(DIGEST, (EndReport(1, 1, 5, 4, 0),), None, 0, 0),
        RequestReport(DIGEST, (EndReport(1, 1, 5, -1, 1),), None, 0, 0),
        RequestReport(DIGEST, (EndReport(1, 1, 5, 4, 1),) * 40, None, 0, 0),
    ],
)
def test_impossible_reports_are_refused(report):
    with pytest.raises(ValueError):
        decode(encode([report]))


def test_malformed_messages_are_refused():
    random = Random(5)
    good = encode([RequestReport(DIGEST, (EndReport(1, 1, 5, 4, 1),), 3, 0, 0)])
    for _ in range(2000):
        spoiled = bytearray(good)
        spoiled[random.randrange(1, len(spoiled))] = random.randrange(256)
        with contextlib.suppress(msgspec.MsgspecError, ValueError):
            decode(bytes(spoiled[: random.randrange(1, len(spoiled) + 1)]))
    with pytest.raises(msgspec.MsgspecError):
        decode(PREFIX)
