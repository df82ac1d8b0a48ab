"""Runs experiments and prints their tables."""

import sys
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Final

import typer

from .experiments.experiment import Experiment, run_experiment
from .experiments.neighbour import neighbour
from .experiments.overload import overload
from .experiments.owner_lost import owner_lost
from .experiments.straggler import straggler
from .plots import plot_latency
from .tables import render, save

_EXPERIMENTS: Final = MappingProxyType(
    {
        'straggler': straggler,
        'overload': overload,
        'owner lost': owner_lost,
        'neighbour': neighbour,
    }
)

_RESULTS: Final = 'bench-results'

_Only = Annotated[
    list[str],
    typer.Option(
        help='Run this experiment alone; may be repeated.',
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
    unknown = set(only) - set(_EXPERIMENTS)
    if unknown:
        raise typer.BadParameter('no experiment {0}'.format(unknown))
    met = [
        _run(make(seconds), Path(out))
        for name, make in _EXPERIMENTS.items()
        if not only or name in only
    ]
    sys.exit(0 if all(met) else 1)


def _run(experiment: Experiment, out: Path) -> bool:
    table, runs = run_experiment(experiment, _say)
    save(table, out)
    plot_latency(
        experiment.name,
        {name: run.outcomes for name, run in runs.items()},
        out / '{0}.png'.format(experiment.name),
    )
    sys.stdout.write('{0}\n\n'.format(render(table)))
    return all(finding.met for finding in table.findings)


def _say(progress: str) -> None:
    sys.stderr.write('running {0}\n'.format(progress))


if __name__ == '__main__':
    typer.run(_main)
