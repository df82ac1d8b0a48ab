"""Writes the fault matrix as a table for a terminal."""

from collections import Counter
from collections.abc import Iterator, Sequence
from string import ascii_uppercase
from types import MappingProxyType
from typing import Final

from .axes import Fault, Step
from .cells import Cell, Standing

__all__ = ('MARKS', 'Row', 'rows_of', 'write_counts', 'write_table')

Row = tuple[Cell, ...]

MARKS: Final = MappingProxyType(
    {
        Standing.PROVED: 'yes',
        Standing.NOT_PROVED: 'no',
        Standing.NOT_APPLICABLE: '-',
    },
)

_COLUMN_WIDTH: Final = 4
_STEP_WIDTH: Final = max(len(step.value) for step in Step)
_LETTERS: Final = ascii_uppercase[: len(Fault)]


def rows_of(cells: Sequence[Cell]) -> Iterator[tuple[Step, Row]]:
    """Go through the cells step by step."""
    for step in Step:
        yield step, tuple(cell for cell in cells if cell.step is step)


def write_table(cells: Sequence[Cell]) -> str:
    """Write the cells, one step a line, under lettered faults."""
    lines = [
        '{0} {1}'.format(letter, fault.value)
        for letter, fault in zip(_LETTERS, Fault, strict=True)
    ]
    lines.append(_write_row('', _LETTERS))
    lines.extend(
        _write_row(step.value, [MARKS[cell.standing] for cell in row])
        for step, row in rows_of(cells)
    )
    return '\n'.join(lines)


def write_counts(cells: Sequence[Cell]) -> str:
    """Write how many cells stand where."""
    counts = Counter(cell.standing for cell in cells)
    numbers = (
        '{0} {1}'.format(counts[standing], standing.value)
        for standing in Standing
    )
    return '{0} cells: {1}.'.format(len(cells), ', '.join(numbers))


def _write_row(name: str, marks: Sequence[str]) -> str:
    columns = ''.join(mark.rjust(_COLUMN_WIDTH) for mark in marks)
    return name.ljust(_STEP_WIDTH) + columns
