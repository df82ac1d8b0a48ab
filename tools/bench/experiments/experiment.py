"""What an experiment is: variants to run, and targets to judge them by."""

from collections.abc import Callable, Mapping
from dataclasses import astuple, dataclass
from typing import Final, final

from ..outcomes import Ending, Summary, summarize
from ..runs import Run, run_variant
from ..tables import Finding, Table
from ..variants import Variant

__all__ = ('Experiment', 'Judge', 'at_least', 'at_most', 'run_experiment')

#: Judges the runs of an experiment, found by their variants' names.
_Findings = tuple[Finding, ...]
Judge = Callable[[Mapping[str, Run]], _Findings]

_US_PER_S: Final = 1_000_000
_COLUMNS: Final = (
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


@final
@dataclass(frozen=True, slots=True)
class Experiment:
    """Variants that are compared in one run of the bench."""

    name: str
    variants: tuple[Variant, ...]
    judge: Judge


def run_experiment(
    experiment: Experiment,
    progress: Callable[[str], None],
) -> tuple[Table, dict[str, Run]]:
    """Run every variant, one after the other, and judge them."""
    runs: dict[str, Run] = {}
    for variant in experiment.variants:
        progress('{0}: {1}'.format(experiment.name, variant.name))
        runs[variant.name] = run_variant(variant)
    table = Table(
        experiment=experiment.name,
        columns=_COLUMNS,
        rows=tuple(_row(run) for run in runs.values()),
        findings=experiment.judge(runs),
    )
    return table, runs


def at_most(target: str, measured: float, limit: float) -> Finding:
    """Judge a figure that must not exceed a limit."""
    text = '{0:.3g} against {1:g}'.format(measured, limit)
    return Finding(target, text, measured <= limit)


def at_least(target: str, measured: float, limit: float) -> Finding:
    """Judge a figure that must reach a limit."""
    text = '{0:.3g} against {1:g}'.format(measured, limit)
    return Finding(target, text, measured >= limit)


def _row(run: Run) -> tuple[str, ...]:
    summary = summarize(run.outcomes, float('inf'))
    primaries = max(run.primaries, 1)
    return (
        run.variant.name,
        *_endings(summary),
        *_times(summary),
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
