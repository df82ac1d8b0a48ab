"""What is believed of one VM, and which of two beliefs is the newer."""

from dataclasses import dataclass
from typing import Final, final

from ..model.ids import Incarnation, VmId
from .messages import MemberState, Rumour

__all__ = ('DEFAULT_STATUS', 'MemberStatus')


@final
@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The newest belief about one VM (SWIM, Das, Gupta and Motivala 2002).

    :ivar refutation: how often this incarnation has refuted a suspicion.
    """

    incarnation: Incarnation
    state: MemberState
    refutation: int = 0

    def supersedes(self, other: 'MemberStatus') -> bool:
        """Say whether this belief replaces the other.

        Leaving is final: within an incarnation nothing replaces it.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        if MemberState.LEAVING in {self.state, other.state}:
            return other.state is not MemberState.LEAVING
        if self.refutation != other.refutation:
            return self.refutation > other.refutation
        return self.state.value > other.state.value

    def suspected(self) -> 'MemberStatus':
        """Give the same belief with a suspicion added."""
        return MemberStatus(
            self.incarnation,
            MemberState.SUSPECTED,
            self.refutation,
        )

    def told_of(self, vm: VmId) -> Rumour:
        """Put the belief into words for other VMs."""
        return Rumour(vm, self.incarnation, self.state, self.refutation)


#: A published VM that nobody has heard from is taken to be alive.
DEFAULT_STATUS: Final = MemberStatus(Incarnation(0), MemberState.ALIVE)
