"""The clock of tests that must not depend on pauses of their process."""

from itertools import pairwise

import pytest

from .pause_free_clock import MAX_IDLE_S, PauseFreeClock


class _Times:
    """Times that a test sets.

    :ivar monotonic_s: monotonic time.
    :ivar processor_s: processor time used.
    """

    def __init__(self):
        self.monotonic_s = 100.0
        self.processor_s = 5.0

    def clock(self):
        return PauseFreeClock(
            lambda: self.monotonic_s, lambda: self.processor_s
        )


def test_pause_is_not_counted():
    times = _Times()
    clock = times.clock()
    times.monotonic_s += 1.5
    assert clock() == pytest.approx(100 + MAX_IDLE_S)
    times.monotonic_s += 0.05
    assert clock() == pytest.approx(100.05 + MAX_IDLE_S)


def test_computation_and_short_waits_are_counted():
    times = _Times()
    clock = times.clock()
    times.monotonic_s += 1.5
    times.processor_s += 1.45
    assert clock() == pytest.approx(101.5)


def test_time_never_goes_back():
    clock = PauseFreeClock()
    readings = [clock() for _ in range(100)]
    assert all(one <= other for one, other in pairwise(readings))
