"""What an experiment is: variants to run, and targets to judge them by."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import final

from ..runs import Run, run_variant
from ..tables import Finding, Table
from ..variants import Variant
from .rows import COLUMNS, write_row

__all__ = ('Experiment', 'Judge', 'at_least', 'at_most', 'run_experiment')

#: Judges the runs of an experiment, found by their variants' names.
_Findings = tuple[Finding, ...]
Judge = Callable[[Mapping[str, Run]], _Findings]


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
        columns=COLUMNS,
        rows=tuple(map(write_row, runs.values())),
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
