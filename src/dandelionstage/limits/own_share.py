"""This VM's own share of a backend server's slots."""

from typing import final

from ..model.ids import VmId
from .settlement import Settlement
from .share_view import ShareView

__all__ = ('OwnShare',)


@final
class OwnShare:
    """Shrinks at once and grows only when the change has settled.

    So the shares of all VMs stay under the server's limit while some of
    them see an older list than others.

    :ivar view: the shares by the newest documents.
    :ivar settlement: whether the whole share may be used.
    """

    def __init__(self) -> None:
        """Start without a share."""
        self.view = ShareView(0, 0, (), frozenset(), '')
        self.settlement = Settlement()
        self._listed: frozenset[VmId] = frozenset()
        self._held = 0

    def follow(
        self, view: ShareView, listed: frozenset[VmId], now_ms: float
    ) -> None:
        """Take over newer documents.

        :param listed: all VMs published in the data centre.
        """
        self._listed = listed
        if view != self.view:
            held = min(self.slots(now_ms), view.slots)
            self._settle(held, view, now_ms)

    def doubt(self, now_ms: float) -> None:
        """Ask anew: the documents may be old, as the process was paused."""
        self._settle(0, self.view, now_ms)

    def confirm(self, vm: VmId, digest: str) -> bool:
        """Note that a VM sees these shares; true if they are ours."""
        if digest != self.view.digest:
            return False
        self.settlement.confirm(vm)
        return True

    def slots(self, now_ms: float) -> int:
        """Count the own slots that nobody else can still hold."""
        if self.settlement.settled(now_ms):
            self._held = self.view.slots
        return self._held

    def _settle(self, held: int, view: ShareView, now_ms: float) -> None:
        holders = view.circle.union(self.view.lenders)
        self._held = held
        self.view = view
        if held < view.slots:
            self.settlement.begin(holders, self._listed, now_ms)
