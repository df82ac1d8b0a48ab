"""The status of one VM, and which of two statuses is the newer."""

from dataclasses import dataclass
from typing import Final, final

from ..model.ids import Incarnation, VmId
from .messages import MemberState, Rumour

__all__ = ('DEFAULT_STATUS', 'MemberStatus')


@final
@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The status of one VM (SWIM, Das, Gupta and Motivala 2002).

    :ivar refutation: number of suspicions this incarnation has refuted.
    """

    incarnation: Incarnation
    state: MemberState
    refutation: int = 0

    def supersedes(self, other: 'MemberStatus') -> bool:
        """Return whether this status replaces the other.

        Leaving is final: no status of the same incarnation replaces it.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        if MemberState.LEAVING in {self.state, other.state}:
            return other.state is not MemberState.LEAVING
        if self.refutation != other.refutation:
            return self.refutation > other.refutation
        return self.state.value > other.state.value

    def as_suspected(self) -> 'MemberStatus':
        """Return a copy with the state ``SUSPECTED``."""
        return MemberStatus(
            self.incarnation,
            MemberState.SUSPECTED,
            self.refutation,
        )

    def to_rumour(self, vm: VmId) -> Rumour:
        """Return the status as a rumour for other VMs."""
        return Rumour(vm, self.incarnation, self.state, self.refutation)


#: A published VM is assumed to be alive until a probe or rumour arrives.
DEFAULT_STATUS: Final = MemberStatus(Incarnation(0), MemberState.ALIVE)
