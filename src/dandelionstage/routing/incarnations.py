"""Incarnations (process starts) of a backend server."""

from typing import final

__all__ = ('Incarnations',)


@final
class Incarnations:
    """Keeps the incarnations of one backend server in order of appearance.

    Names of incarnations have no order, so the last one to appear counts as
    the newest. A late reply of an earlier incarnation is recognised by its
    name.
    """

    def __init__(self) -> None:
        """Create an empty list of incarnations."""
        self._seen: dict[str, None] = {}

    def __len__(self) -> int:
        """Return the number of incarnations seen."""
        return len(self._seen)

    def add(self, incarnation: str) -> bool:
        """Record the incarnation of a reply; return whether it is new."""
        if not incarnation or incarnation in self._seen:
            return False
        self._seen[incarnation] = None
        return True

    def is_newest(self, incarnation: str) -> bool:
        """Whether an incarnation is the newest, also true if none was seen."""
        return not self._seen or incarnation == next(reversed(self._seen))
