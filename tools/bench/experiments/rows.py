"""One run as a row of a table."""

from dataclasses import astuple
from typing import Final

from ..outcomes import Ending, Summary, summarize
from ..runs import Run

__all__ = ('COLUMNS', 'write_row')

_US_PER_S: Final = 1_000_000
#: What each row says, in order.
COLUMNS: Final = (
    'variant',
    'offered',
    'whole',
    'partial',
    'refused',
    'failed',
    'false',
    'p50 ms',
    'p99 ms',
    'extra load',
    'starts per sub-request',
    'daemon µs per sub-request',
    'most slots',
    'most queued',
    'most connections',
)


def write_row(run: Run) -> tuple[str, ...]:
    """Write what a run measured."""
    summary = summarize(run.outcomes, float('inf'))
    return (
        run.variant.name,
        *_endings(summary),
        *_times(summary),
        *_costs(run),
    )


def _costs(run: Run) -> tuple[str, ...]:
    primaries = max(run.primaries, 1)
    return (
        '{0:.1%}'.format(run.extra_load_fraction),
        '{0:.3f}'.format(run.starts / primaries),
        '{0:.0f}'.format(run.cpu_s * _US_PER_S / primaries),
        *map(str, astuple(run.maxima)),
    )


def _times(summary: Summary) -> tuple[str, ...]:
    return tuple(
        '{0:.1f}'.format(quantile_ms)
        for quantile_ms in (summary.p50_ms, summary.p99_ms)
    )


def _endings(summary: Summary) -> tuple[str, ...]:
    counts = (summary.endings[ending] for ending in Ending)
    return str(summary.offered), *map(str, counts)
