"""The verdicts of several attempts combine to the surest one."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.model.verdict import Reason, Run, Verdict, combine_verdicts

verdicts = st.builds(Verdict, st.sampled_from(Run), st.sampled_from(Reason))


@given(verdicts, verdicts)
def test_not_run_needs_both(first, second):
    joined = combine_verdicts(first, second).run
    neither_ran = first.run is Run.NOT_RUN and second.run is Run.NOT_RUN
    assert (joined is Run.NOT_RUN) == neither_ran


@given(verdicts, verdicts, verdicts)
def test_order_of_joining_does_not_matter(first, second, third):
    left = combine_verdicts(combine_verdicts(first, second), third)
    right = combine_verdicts(first, combine_verdicts(second, third))
    assert left.run is right.run
