"""Health of a backend server as observed from its replies."""

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
    """Tracks whether a backend server is draining or ejected.

    Draining lasts until the server restarts; an ejection ends after a time.

    :ivar ejection: failures and ejections of the newest incarnation.
    """

    def __init__(self) -> None:
        """Create the health of a server without any reply."""
        self.ejection = Ejection()
        self._incarnations = Incarnations()
        self._draining = False

    def availability(self, now_ms: float) -> Availability:
        """Return whether the server may get new work."""
        if self._draining:
            return Availability.DRAINING
        if now_ms < self.ejection.until_ms:
            return Availability.EJECTED
        return Availability.AVAILABLE

    def observe_reply(self, incarnation: str, *, draining: bool) -> bool:
        """Record the incarnation and the draining flag of a reply.

        Draining ends only with the next incarnation, whatever a published
        list or a reply of an older incarnation says.

        :returns: whether the server has restarted.
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
        """Mark the server as draining until the next incarnation."""
        self._draining = True
