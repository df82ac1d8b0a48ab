"""Gossip about the states of VMs."""

from collections.abc import Iterable
from typing import final

from ..model.ids import VmId
from .member_status import DEFAULT_STATUS, MemberStatus
from .messages import Identity, MemberState, Rumour
from .roster import Roster
from .rumours import RumourQueue

__all__ = ('Gossip',)


@final
class Gossip:
    """Spreads the states of VMs by piggybacking rumours on probes.

    A VM refutes a suspicion of itself by incrementing its refutation count.
    SWIM increments the incarnation number instead; here the incarnation
    changes only when the process restarts.
    """

    def __init__(self, identity: Identity, roster: Roster) -> None:
        """Queue the rumour that this VM has started."""
        self._vm = identity.vm
        self._own_status = MemberStatus(identity.incarnation, MemberState.ALIVE)
        self._roster = roster
        self._queue = RumourQueue()
        self._queue.add(self._own_status.to_rumour(self._vm))

    def receive(self, rumours: Iterable[Rumour]) -> None:
        """Apply rumours; refute a suspicion of this VM."""
        for rumour in rumours:
            status = MemberStatus(
                rumour.incarnation,
                rumour.state,
                rumour.refutation,
            )
            if rumour.vm == self._vm:
                self._refute(status)
            else:
                self.update(rumour.vm, status)

    def update(self, vm: VmId, status: MemberStatus) -> bool:
        """Update the status of another VM and queue a rumour if it is new.

        A published VM counts as alive by default, so no rumour is queued
        for the first report that it is alive: a starting fleet sends none.

        :returns: whether the status replaced the previous one.
        """
        before = self._roster.status_of(vm)
        is_newer = self._roster.update(vm, status)
        expected = (
            before is DEFAULT_STATUS and status.state is MemberState.ALIVE
        )
        if is_newer and not expected:
            self._queue.add(status.to_rumour(vm))
        return is_newer

    def leave(self) -> None:
        """Announce that this VM is stopping."""
        self._update_own(
            MemberStatus(self._own_status.incarnation, MemberState.LEAVING)
        )

    def choose_rumours(
        self, recipient: VmId, fleet_size: int
    ) -> tuple[Rumour, ...]:
        """Choose the rumours for one probe.

        A suspected recipient is always sent the suspicion, so that it can
        refute it.  A stopping VM always includes its own state.
        """
        rumours = self._queue.take(fleet_size)
        known = self._roster.status_of(recipient)
        if known.state is MemberState.SUSPECTED:
            rumours = (*rumours, known.to_rumour(recipient))
        if self._own_status.state is MemberState.LEAVING:
            rumours = (*rumours, self._own_status.to_rumour(self._vm))
        return rumours

    def _refute(self, received: MemberStatus) -> None:
        own = self._own_status
        if received.incarnation != own.incarnation:
            return
        if received.state is MemberState.SUSPECTED:
            refutation = max(own.refutation, received.refutation + 1)
            self._update_own(
                MemberStatus(own.incarnation, own.state, refutation)
            )

    def _update_own(self, own: MemberStatus) -> None:
        self._own_status = own
        self._roster.update(self._vm, own)
        self._queue.add(own.to_rumour(self._vm))
