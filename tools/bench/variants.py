"""What is run: a fleet, a load and faults on schedule."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from tools.fleet.fleet import Fleet
from tools.fleet.scenario import Scenario

from .streams import Stream

__all__ = ('Fault', 'Variant')


@final
@dataclass(frozen=True, slots=True)
class Fault:
    """Something done to the fleet in the course of a run.

    :ivar at_s: since the load began.
    """

    at_s: float
    strike: Callable[[Fleet], None]


@final
@dataclass(frozen=True, slots=True)
class Variant:
    """One row of an experiment."""

    name: str
    scenario: Scenario
    streams: tuple[Stream, ...]
    duration_s: float
    faults: tuple[Fault, ...] = ()
