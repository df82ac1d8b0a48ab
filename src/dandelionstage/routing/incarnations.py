"""Which start of a backend server a reply comes from."""

from typing import final

__all__ = ('Incarnations',)


@final
class Incarnations:
    """Remembers the incarnations of one backend server in order.

    Their names have no order of their own, so the one met last is the
    newest, and a late reply of an earlier one is told by its name.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._met: dict[str, None] = {}

    def __len__(self) -> int:
        """Count the incarnations met."""
        return len(self._met)

    def add(self, incarnation: str) -> bool:
        """Note who replied; true when it was never met before."""
        if not incarnation or incarnation in self._met:
            return False
        self._met[incarnation] = None
        return True

    def is_newest(self, incarnation: str) -> bool:
        """Say whether a reply comes from the newest incarnation."""
        return not self._met or incarnation == next(reversed(self._met))
