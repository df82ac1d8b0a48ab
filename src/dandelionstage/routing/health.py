"""What is known of a backend server from observed outcomes."""

from enum import Enum, unique
from typing import final

from .ejection import Ejection
from .incarnations import Incarnations

__all__ = ('BackendHealth', 'Availability')


@unique
class Availability(Enum):
    """Whether a backend server may get new work."""

    AVAILABLE = 'fit'
    EJECTED = 'ejected'
    DRAINING = 'draining'


@final
class BackendHealth:
    """Remembers draining for good and failures for a while.

    :ivar ejection: the failures of the newest incarnation.
    """

    def __init__(self) -> None:
        """Start with a server that was never heard of."""
        self.ejection = Ejection()
        self._incarnations = Incarnations()
        self._draining = False

    def availability(self, now_ms: float) -> Availability:
        """Say whether the server may get new work."""
        if self._draining:
            return Availability.DRAINING
        if now_ms < self.ejection.until_ms:
            return Availability.EJECTED
        return Availability.AVAILABLE

    def observe_reply(self, incarnation: str, *, draining: bool) -> bool:
        """Take in what a reply says; true when the server has restarted.

        Draining ends only with the next incarnation, whatever a list or an
        older reply says.
        """
        known = self._draining or len(self._incarnations) > 0
        restarted = self._incarnations.add(incarnation) and known
        if restarted:
            self._draining = False
            self.ejection = Ejection()
        if draining and self._incarnations.is_newest(incarnation):
            self._draining = True
        return restarted

    def mark_draining(self) -> None:
        """Stop new work until the next incarnation."""
        self._draining = True
