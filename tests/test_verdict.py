"""The verdicts of several attempts combine to the surest one."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.model.verdict import Reason, Run, Verdict, combine

verdicts = st.builds(Verdict, st.sampled_from(Run), st.sampled_from(Reason))


@given(verdicts, verdicts)
def test_not_run_needs_both(first, second):
    joined = combine(first, second).run
    neither_ran = first.run is Run.NOT_RUN and second.run is Run.NOT_RUN
    assert (joined is Run.NOT_RUN) == neither_ran


@given(verdicts, verdicts, verdicts)
def test_order_of_joining_does_not_matter(first, second, third):
    left = combine(combine(first, second), third)
    right = combine(first, combine(second, third))
    assert left.run is right.run
