"""The cells of the fault matrix and where they stand."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import final

from .axes import Fault, Step

__all__ = ('Cell', 'Entry', 'Standing', 'arrange')


@unique
class Standing(Enum):
    """Where a cell stands."""

    PROVED = 'proved'
    NOT_PROVED = 'not proved'
    NOT_APPLICABLE = 'not applicable'


@final
@dataclass(frozen=True, slots=True)
class Entry:
    """What one module says of one cell.

    :ivar test: the pytest node id, empty when not applicable.
    :ivar reason: why the fault cannot strike at this step, else empty.
    """

    step: Step
    fault: Fault
    test: str = ''
    reason: str = ''


@final
@dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step."""

    step: Step
    fault: Fault
    entries: tuple[Entry, ...]

    @property
    def tests(self) -> tuple[str, ...]:
        """The tests that prove the cell."""
        return tuple(entry.test for entry in self.entries if entry.test)

    @property
    def reasons(self) -> tuple[str, ...]:
        """Why the fault cannot strike at this step."""
        return tuple(entry.reason for entry in self.entries if entry.reason)

    @property
    def standing(self) -> Standing:
        """Say where the cell stands; a test weighs more than a reason."""
        if self.tests:
            return Standing.PROVED
        return Standing.NOT_APPLICABLE if self.reasons else Standing.NOT_PROVED


def arrange(entries: Iterable[Entry]) -> tuple[Cell, ...]:
    """Lay out every cell, row by row, with what is said of it."""
    known: Mapping[tuple[Step, Fault], list[Entry]] = {
        (step, fault): [] for step in Step for fault in Fault
    }
    for entry in entries:
        known[entry.step, entry.fault].append(entry)
    return tuple(
        Cell(step, fault, tuple(found))
        for (step, fault), found in known.items()
    )
