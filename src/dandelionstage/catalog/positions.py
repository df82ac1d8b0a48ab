"""Positions in the histories of the store.

A store that is restored from a copy gives out revisions again, for other
changes.  Its era, which rises each time, tells its histories apart.
"""

from typing import Final, NewType

__all__ = ('StoreRevision', 'era_of', 'log_fields', 'position', 'revision_of')

#: Position of a change in all histories of the store: higher for every later
#: change, also after the store was restored.
StoreRevision = NewType('StoreRevision', int)

#: More revisions than the store has in one era.
_REVISIONS_PER_ERA: Final = 1_099_511_627_776


def position(era: int, revision: int) -> StoreRevision:
    """Return the position of a revision in the history of an era.

    :raises ValueError: if the revision is not that of a store.
    """
    if not 0 <= revision < _REVISIONS_PER_ERA:
        raise ValueError('revision {0} out of range'.format(revision))
    return StoreRevision(era * _REVISIONS_PER_ERA + revision)


def era_of(at: StoreRevision) -> int:
    """Return the era of a position."""
    return at // _REVISIONS_PER_ERA


def revision_of(at: StoreRevision) -> int:
    """Return the revision that the store gave to a change."""
    return at % _REVISIONS_PER_ERA


def log_fields(as_of: StoreRevision) -> dict[str, int]:
    """Return a position as the fields of a log line."""
    return {'as_of': revision_of(as_of), 'era': era_of(as_of)}
