"""What is believed of one VM, and which of two beliefs is the newer."""

from dataclasses import dataclass
from typing import Final, final

from ..model.ids import Incarnation, VmId
from .messages import MemberState, Rumour

__all__ = ('UNHEARD', 'Standing')


@final
@dataclass(frozen=True, slots=True)
class Standing:
    """The newest belief about one VM (SWIM, Das, Gupta and Motivala 2002).

    :ivar refutation: how often this incarnation has refuted a suspicion.
    """

    incarnation: Incarnation
    state: MemberState
    refutation: int = 0

    def outranks(self, other: 'Standing') -> bool:
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

    def suspected(self) -> 'Standing':
        """Give the same belief with a suspicion added."""
        return Standing(
            self.incarnation,
            MemberState.SUSPECTED,
            self.refutation,
        )

    def told_of(self, vm: VmId) -> Rumour:
        """Put the belief into words for other VMs."""
        return Rumour(vm, self.incarnation, self.state, self.refutation)


#: A published VM that nobody has heard from is taken to be alive.
UNHEARD: Final = Standing(Incarnation(0), MemberState.ALIVE)
