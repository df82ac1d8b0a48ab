"""What one VM hears of others, believes and tells on."""

from collections.abc import Iterable
from typing import final

from ..model.ids import VmId
from .messages import Identity, MemberState, Rumour
from .roster import Roster
from .rumours import RumourQueue
from .member_status import DEFAULT_STATUS, MemberStatus

__all__ = ('Gossip',)


@final
class Gossip:
    """Spreads beliefs by letting them ride on probes.

    A VM refutes a suspicion of itself by counting its refutations up, as
    SWIM does with incarnation numbers; here an incarnation stays the same
    until the process starts anew.
    """

    def __init__(self, identity: Identity, roster: Roster) -> None:
        """Tell the others that this VM has started."""
        self._vm = identity.vm
        self._own = MemberStatus(identity.incarnation, MemberState.ALIVE)
        self._roster = roster
        self._queue = RumourQueue()
        self._queue.add(self._own.told_of(self._vm))

    def hear(self, rumours: Iterable[Rumour]) -> None:
        """Take in rumours, refuting a suspicion of this VM itself."""
        for rumour in rumours:
            standing = MemberStatus(
                rumour.incarnation,
                rumour.state,
                rumour.refutation,
            )
            if rumour.vm == self._vm:
                self._answer(standing)
            else:
                self.note(rumour.vm, standing)

    def note(self, vm: VmId, standing: MemberStatus) -> bool:
        """Take a belief about another VM and tell it on if it is news.

        That a published VM is alive is what all believe who have not heard
        of it, so that a fleet which starts has nothing to tell.
        """
        before = self._roster.standing_of(vm)
        is_taken = self._roster.believe(vm, standing)
        expected = (
            before is DEFAULT_STATUS and standing.state is MemberState.ALIVE
        )
        if is_taken and not expected:
            self._queue.add(standing.told_of(vm))
        return is_taken

    def leave(self) -> None:
        """Say that this VM is stopping."""
        self._take(MemberStatus(self._own.incarnation, MemberState.LEAVING))

    def tell(self, listener: VmId, fleet_size: int) -> tuple[Rumour, ...]:
        """Choose the rumours for one probe.

        A suspected VM is told of it each time, so that it can refute it;
        a VM that is stopping says so each time.
        """
        told = self._queue.pick(fleet_size)
        heard = self._roster.standing_of(listener)
        if heard.state is MemberState.SUSPECTED:
            told = (*told, heard.told_of(listener))
        if self._own.state is MemberState.LEAVING:
            told = (*told, self._own.told_of(self._vm))
        return told

    def _answer(self, heard: MemberStatus) -> None:
        own = self._own
        if heard.incarnation != own.incarnation:
            return
        if heard.state is MemberState.SUSPECTED:
            refutation = max(own.refutation, heard.refutation + 1)
            self._take(MemberStatus(own.incarnation, own.state, refutation))

    def _take(self, own: MemberStatus) -> None:
        self._own = own
        self._roster.believe(self._vm, own)
        self._queue.add(own.told_of(self._vm))
