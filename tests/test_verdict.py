"""Combination of the verdicts of several attempts at a request."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.model.verdict import Reason, Run, Verdict, combine_verdicts

verdicts = st.builds(Verdict, st.sampled_from(Run), st.sampled_from(Reason))


@given(verdicts, verdicts)
def test_combined_verdict_is_not_run_only_if_neither_ran(first, second):
    combined = combine_verdicts(first, second).run
    neither_ran = first.run is Run.NOT_RUN and second.run is Run.NOT_RUN
    assert (combined is Run.NOT_RUN) == neither_ran


@given(verdicts, verdicts, verdicts)
def test_grouping_of_combined_verdicts_does_not_matter(first, second, third):
    left = combine_verdicts(combine_verdicts(first, second), third)
    right = combine_verdicts(first, combine_verdicts(second, third))
    assert left.run is right.run
