"""What is known of a backend server from observed outcomes."""

from enum import Enum, unique
from typing import final

from .ejection import Ejection
from .incarnations import Incarnations

__all__ = ('BackendHealth', 'Fitness')


@unique
class Fitness(Enum):
    """Whether a backend server may get new work."""

    FIT = 'fit'
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

    def fitness(self, now_ms: float) -> Fitness:
        """Say whether the server may get new work."""
        if self._draining:
            return Fitness.DRAINING
        if now_ms < self.ejection.until_ms:
            return Fitness.EJECTED
        return Fitness.FIT

    def meet(self, incarnation: str, *, draining: bool) -> bool:
        """Take in what a reply says; true when the server has restarted.

        Draining ends only with the next incarnation, whatever a list or an
        older reply says.
        """
        known = self._draining or len(self._incarnations) > 0
        restarted = self._incarnations.meet(incarnation) and known
        if restarted:
            self._draining = False
            self.ejection = Ejection()
        if draining and self._incarnations.is_newest(incarnation):
            self._draining = True
        return restarted

    def drain(self) -> None:
        """Stop new work until the next incarnation."""
        self._draining = True
