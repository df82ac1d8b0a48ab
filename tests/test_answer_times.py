"""Places with slow replicas are found, passed by and taken back."""

from dandelionstage.model.messages import OwnerKey
from dandelionstage.retries.answer_times import AnswerTimes

SLOW = OwnerKey('finder-desk', 's1', 'plovdiv-a')
FAST = OwnerKey('finder-desk', 's1', 'plovdiv-b')
TYPICAL_MS = 20


def test_unknown_place_is_not_slow():
    assert not AnswerTimes().is_slow(SLOW, TYPICAL_MS)


def test_slow_place_is_found_from_answers_and_from_lost_hedges():
    times = AnswerTimes()
    times.observe(SLOW, 10, 0)
    for turn in range(20):
        times.observe_unfinished(SLOW, 100, turn)
        times.observe(FAST, 10, turn)
    assert times.is_slow(SLOW, TYPICAL_MS)
    assert not times.is_slow(FAST, TYPICAL_MS)


def test_quick_loser_does_not_look_fast():
    times = AnswerTimes()
    times.observe(SLOW, 100, 0)
    for turn in range(20):
        times.observe_unfinished(SLOW, 5, turn)
    assert times.is_slow(SLOW, TYPICAL_MS)


def test_slow_place_is_asked_once_in_a_while():
    times = AnswerTimes()
    times.observe(SLOW, 100, 0)
    asked = [
        now_ms for now_ms in range(3001) if times.claim_probe(SLOW, now_ms)
    ]
    assert asked == [1000, 2000, 3000]


def test_recovered_place_is_taken_back_after_few_answers():
    times = AnswerTimes()
    times.observe(SLOW, 100, 0)
    for second in range(1, 4):
        times.observe(SLOW, 10, second * 1000)
    assert not times.is_slow(SLOW, TYPICAL_MS)
