"""Findings on a configuration."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import final

__all__ = ('Finding', 'FindingKind')


@unique
class FindingKind(Enum):
    """Kinds of findings, the gravest first."""

    #: No VM could use it.
    ERROR = 'error'
    #: An entry that no request can ever match.
    NEVER_MATCHES = 'never matches'
    #: Values that no request can meet together.
    CONTRADICTION = 'contradiction'
    #: A difference from the version in force.
    CHANGE = 'change'


@final
@dataclass(frozen=True, slots=True)
class Finding:
    """One finding.

    :ivar place: route, service or field that it is about.
    """

    kind: FindingKind
    place: str
    problem: str
