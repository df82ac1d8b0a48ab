"""Runs experiments and prints their tables."""

import sys
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Final

import typer

from .control import run_control
from .cost import run_cost
from .experiments.experiment import Experiment, run_experiment
from .experiments.neighbour import neighbour
from .experiments.overload import overload
from .experiments.owner_lost import owner_lost
from .experiments.straggler import straggler
from .plots import plot_latency
from .tables import Table, render, save

#: Policies against their baselines under a load, with a plot each.
_EXPERIMENTS: Final = MappingProxyType(
    {
        'straggler': straggler,
        'overload': overload,
        'owner lost': owner_lost,
        'neighbour': neighbour,
    }
)
#: Figures of cost, a table each.
_MEASURES: Final = MappingProxyType(
    {
        'cost': run_cost,
        'control': run_control,
    }
)

_RESULTS: Final = 'bench-results'

_Only = Annotated[
    list[str],
    typer.Option(
        help='Run this one alone; may be repeated.',
        default_factory=list,
    ),
]


def _main(
    only: _Only,
    seconds: Annotated[float, typer.Option(help='Load per variant.')] = 20,
    out: Annotated[str, typer.Option(help='Where results go.')] = _RESULTS,
) -> None:
    """Compare each policy with its baseline on real processes.

    Exits with 1 if a target is missed.
    """
    known = (*_EXPERIMENTS, *_MEASURES)
    unknown = set(only).difference(known)
    if unknown:
        raise typer.BadParameter('choose from {0}'.format(', '.join(known)))
    tables = [
        _run(name, seconds, Path(out))
        for name in known
        if name in only or not only
    ]
    met = [finding.met for table in tables for finding in table.findings]
    sys.exit(0 if all(met) else 1)


def _run(name: str, seconds: float, out: Path) -> Table:
    measure = _MEASURES.get(name)
    if measure is None:
        table = _compare(_EXPERIMENTS[name], seconds, out)
    else:
        _say(name)
        table = measure(seconds)
    save(table, out)
    sys.stdout.write('{0}\n\n'.format(render(table)))
    sys.stdout.flush()
    return table


def _compare(
    make: Callable[[float], Experiment],
    seconds: float,
    out: Path,
) -> Table:
    experiment = make(seconds)
    table, runs = run_experiment(experiment, _say)
    plot_latency(
        experiment.name,
        {name: run.outcomes for name, run in runs.items()},
        out / '{0}.png'.format(experiment.name.replace(' ', '-')),
    )
    return table


def _say(progress: str) -> None:
    sys.stderr.write('running {0}\n'.format(progress))


if __name__ == '__main__':
    typer.run(_main)
