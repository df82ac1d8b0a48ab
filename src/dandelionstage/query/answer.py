"""Builds the answer of a query from its merged parts."""

from ..model.coverage import Coverage
from ..model.verdict import Reason, Run, Verdict
from .gather import Gather
from .messages import Answer, Query
from .shared_state import Tally

__all__ = ('make_answer', 'make_refusal')


def make_answer(query: Query, gather: Gather, tally: Tally) -> Answer:
    """Return the answer with the merged records, or a refusal.

    The query is refused if no shard answered or if coverage is below the
    minimum of the customer's contract.
    """
    coverage = gather.coverage()
    enough = _is_enough(query, coverage)
    return Answer(
        verdict=_ran() if enough else _refused(query, coverage, tally),
        pin=gather.pin,
        published_at_s=gather.snapshot.published_at_s,
        coverage=coverage,
        records=gather.records() if enough else (),
        extra_load=tally.extra_load,
        primaries=tally.primaries,
        events=dict(tally.events),
    )


def make_refusal(reason: Reason, tally: Tally) -> Answer:
    """Return the refusal of a query for which no snapshot was pinned."""
    return Answer(
        Verdict(tally.combined_verdict.run, reason),
        extra_load=tally.extra_load,
        primaries=tally.primaries,
        events=dict(tally.events),
    )


def _is_enough(query: Query, coverage: Coverage) -> bool:
    if not coverage.answered:
        return False
    return coverage.fraction >= query.contract.minimum_coverage


def _ran() -> Verdict:
    return Verdict(Run.RAN, Reason.OK)


def _refused(query: Query, coverage: Coverage, tally: Tally) -> Verdict:
    detail = '{0} of {1} shards answered, {2} of them required; {3}'
    return Verdict(
        run=tally.combined_verdict.run,
        reason=Reason.COVERAGE_TOO_LOW,
        retry_after_ms=tally.retry_after_ms,
        detail=detail.format(
            coverage.answered,
            coverage.total,
            query.contract.minimum_coverage,
            'last refusal: {0}'.format(tally.last_refusal.value),
        ),
    )
