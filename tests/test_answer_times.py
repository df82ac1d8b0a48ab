"""Detection of slow replicas, their probes and their recovery."""

from dandelionstage.model.messages import OwnerKey
from dandelionstage.retries.answer_times import AnswerTimes

SLOW = OwnerKey('finder-desk', 's1', 'plovdiv-a')
FAST = OwnerKey('finder-desk', 's1', 'plovdiv-b')
TYPICAL_MS = 20


def test_unknown_owner_key_is_not_slow():
    assert not AnswerTimes().is_slow(SLOW, TYPICAL_MS)


def test_slow_replicas_are_found_from_unfinished_attempts():
    times = AnswerTimes()
    times.observe(SLOW, 10, 0)
    for now_ms in range(20):
        times.observe_unfinished(SLOW, 100, now_ms)
        times.observe(FAST, 10, now_ms)
    assert times.is_slow(SLOW, TYPICAL_MS)
    assert not times.is_slow(FAST, TYPICAL_MS)


def test_short_unfinished_attempts_do_not_look_fast():
    times = AnswerTimes()
    times.observe(SLOW, 100, 0)
    for now_ms in range(20):
        times.observe_unfinished(SLOW, 5, now_ms)
    assert times.is_slow(SLOW, TYPICAL_MS)


def test_slow_replicas_are_probed_at_an_interval():
    times = AnswerTimes()
    times.observe(SLOW, 100, 0)
    probed_ms = [
        now_ms for now_ms in range(3001) if times.claim_probe(SLOW, now_ms)
    ]
    assert probed_ms == [1000, 2000, 3000]


def test_recovered_replicas_are_not_slow_after_few_answers():
    times = AnswerTimes()
    times.observe(SLOW, 100, 0)
    for second in range(1, 4):
        times.observe(SLOW, 10, second * 1000)
    assert not times.is_slow(SLOW, TYPICAL_MS)
