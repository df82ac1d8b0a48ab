"""The stop sequence and the pause detector.

Guards against work aborted by a stop before its time limit, and against
expired work started after a pause.
"""

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.lifecycle.pause_detector import PauseDetector
from dandelionstage.lifecycle.stop_sequence import (
    StopLimits,
    StopSequence,
    StopState,
)

LIMITS = StopLimits(100, 200, 3000, 50)
ORDER = list(StopState)


def make_draining_stop():
    """Make a stop sequence that has reached draining."""
    stop = StopSequence(LIMITS)
    stop.begin(0)
    assert stop.state is StopState.NOT_READY
    assert stop.advance(99, 1, 1) is StopState.NOT_READY
    assert stop.advance(100, 1, 1) is StopState.ANNOUNCED
    assert stop.accepts_new
    assert stop.next_wakeup_ms() == 300
    assert stop.advance(300, 1, 1) is StopState.DRAINING
    assert not stop.accepts_new
    return stop


def test_draining_waits_for_requests_and_tickets():
    stop = make_draining_stop()
    assert stop.advance(400, 1, 0) is StopState.DRAINING
    assert stop.advance(400, 0, 1) is StopState.DRAINING
    assert stop.advance(400, 0, 0) is StopState.CLOSING
    assert stop.advance(401, 0, 0, connections=2) is StopState.CLOSING
    assert stop.advance(402, 0, 0) is StopState.STOPPED
    assert stop.advance(9000, 0, 0) is StopState.STOPPED
    assert not stop.drain_overran


def test_draining_ends_at_its_limit_and_reports_open_work():
    stop = make_draining_stop()
    assert stop.advance(3299, 1, 0) is StopState.DRAINING
    assert stop.advance(3300, 1, 0) is StopState.CLOSING
    assert stop.drain_overran
    assert stop.advance(3350, 1, 0, connections=1) is StopState.STOPPED


def test_second_begin_has_no_effect():
    stop = make_draining_stop()
    stop.begin(300)
    assert stop.state is StopState.DRAINING
    assert stop.next_wakeup_ms() == 3300


def test_serving_has_no_time_limit():
    stop = StopSequence(LIMITS)
    assert stop.advance(1e12, 0, 0) is StopState.SERVING


@given(
    st.lists(
        st.tuples(
            st.floats(0, 5000),
            st.integers(0, 2),
            st.booleans(),
        ),
        max_size=30,
    ),
)
def test_states_follow_in_order_and_abort_work_only_at_the_limit(steps):
    stop = StopSequence(LIMITS)
    now_ms = 0
    stop.begin(now_ms)
    for gap_ms, in_flight, begins_again in steps:
        before = stop.state
        now_ms += gap_ms
        due_ms = stop.next_wakeup_ms()
        if begins_again:
            stop.begin(now_ms)
        after = stop.advance(now_ms, in_flight, 0)
        assert ORDER.index(after) - ORDER.index(before) in {0, 1}
        if before is StopState.DRAINING and after is StopState.CLOSING:
            assert in_flight == 0 or now_ms >= due_ms
            assert stop.drain_overran == (in_flight > 0)


def test_messages_read_after_a_pause_may_be_as_old_as_the_pause():
    pause = PauseDetector(limit_ms=250)
    assert pause.unread_ms(0) == 0
    pause.beat(0)
    assert pause.unread_ms(200) == 0
    # Reads before the first beat after the pause and soon after that beat.
    assert pause.unread_ms(5000) == 5000
    pause.beat(5001)
    assert pause.unread_ms(5200) == 5001
    pause.beat(5100)
    assert pause.unread_ms(5250) == 5001
    pause.beat(5251)
    assert pause.unread_ms(5251) == 0


def test_reported_pause_is_the_whole_gap():
    pause = PauseDetector(limit_ms=250)
    assert pause.beat(1000) == 0
    assert pause.beat(1100) == 0
    assert pause.beat(1350) == 0
    assert pause.beat(9000) == 7650
    assert pause.beat(9100) == 0
