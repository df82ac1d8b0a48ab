"""Reads the cells and guards that the test modules declare."""

import importlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Final, final

from .axes import Fault, Step
from .cells import Entry

__all__ = (
    'CellError',
    'Guard',
    'make_entry',
    'read_entries',
    'read_guards',
)

_TESTS: Final = Path('tests')
_NOT_APPLICABLE: Final = 'n/a:'


@final
class CellError(Exception):
    """A module of cells that cannot be read."""


@final
@dataclass(frozen=True, slots=True)
class Guard:
    """A guard and the tests that fail when it is taken out.

    :ivar path: the module that holds the guard.
    :ivar text: the guard as it stands there.
    :ivar without: what stands there with the guard taken out.
    """

    path: str
    text: str
    without: str
    tests: tuple[str, ...]


def read_entries() -> tuple[Entry, ...]:
    """Read ``CELLS`` of each ``tests/matrix_*.py``."""
    return tuple(
        make_entry(module.__name__, *cell)
        for module in _list_modules()
        for cell in getattr(module, 'CELLS', ())
    )


def read_guards() -> tuple[Guard, ...]:
    """Read ``GUARDS`` of each ``tests/matrix_*.py`` that has any."""
    return tuple(
        Guard(path, text, without, tuple(tests))
        for module in _list_modules()
        for path, text, without, *tests in getattr(module, 'GUARDS', ())
    )


def _list_modules() -> Iterator[ModuleType]:
    for path in sorted(_TESTS.glob('matrix_*.py')):
        yield importlib.import_module('tests.{0}'.format(path.stem))


def make_entry(module: str, step: str, fault: str, proof: str) -> Entry:
    """Read one cell: its step, its fault and its test or reason.

    :raises CellError: for an unknown step or fault, or an empty reason.
    """
    try:
        place = Step(_spell(step)), Fault(_spell(fault))
    except ValueError as error:
        raise CellError('{0}: {1}'.format(module, error)) from error
    if not proof.startswith(_NOT_APPLICABLE):
        return Entry(*place, test=proof)
    reason = proof.removeprefix(_NOT_APPLICABLE).strip()
    if not reason:
        message = '{0}: no reason given for {1}, {2}'
        raise CellError(message.format(module, step, fault))
    return Entry(*place, reason=reason)


def _spell(name: str) -> str:
    return name.lower().replace('_', ' ').replace('-', ' ')
