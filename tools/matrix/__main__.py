"""Prints the fault matrix and keeps docs/FAULTS.md up to date."""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Final

import typer

from .cells import Cell, arrange
from .declared import read_entries, read_guards
from .guards import find_unseen
from .page import write_page
from .proofs import run_tests
from .table import write_counts, write_table

_PAGE: Final = Path('docs/FAULTS.md')

_Check = Annotated[
    bool,
    typer.Option(help='Write nothing; fail if the page or a test is amiss.'),
]
_Guards = Annotated[
    bool,
    typer.Option(help='Take out each guard on a copy; fail if none sees it.'),
]


def main(*, check: _Check = False, guards: _Guards = False) -> None:
    """Print which fault at which step a test proves harmless."""
    cells = arrange(read_entries())
    if guards:
        _end(_check_guards())
    elif check:
        _end([*_check_page(cells), *_check_tests(cells, collect_only=True)])
    else:
        typer.echo(write_table(cells))
        typer.echo(write_counts(cells))
        _PAGE.write_text(write_page(cells, read_guards()))
        _end(_check_tests(cells, collect_only=False))


def _check_page(cells: Sequence[Cell]) -> list[str]:
    if _PAGE.read_text() == write_page(cells, read_guards()):
        return []
    return ['{0} is out of date; run make matrix'.format(_PAGE)]


def _check_tests(cells: Sequence[Cell], *, collect_only: bool) -> list[str]:
    named = {test for cell in cells for test in cell.tests}
    named.update(test for guard in read_guards() for test in guard.tests)
    outcome = run_tests(named, collect_only=collect_only)
    missing = sorted(named - outcome.found)
    return [
        *('no such test: {0}'.format(test) for test in missing),
        *('failed: {0}'.format(test) for test in sorted(outcome.failed)),
    ]


def _check_guards() -> list[str]:
    return [
        'no test fails without {0}: {1}'.format(guard.path, guard.text)
        for guard in find_unseen(read_guards())
    ]


def _end(faults: Sequence[str]) -> None:
    for fault in faults:
        typer.echo(fault, err=True)
    sys.exit(1 if faults else 0)


if __name__ == '__main__':
    typer.run(main)
