"""This VM's own share of a limit."""

from typing import final

from ..model.ids import VmId
from .settlement import Settlement
from .share_view import NO_SHARE, ShareView

__all__ = ('OwnShare',)


@final
class OwnShare:
    """Shrinks at once and grows only when the change has settled.

    So the shares of all VMs stay under the limit while some of
    them see an older list than others.

    :ivar view: the shares by the newest documents.
    :ivar settlement: whether the whole share may be used.
    """

    def __init__(self) -> None:
        """Start without a share."""
        self.view = NO_SHARE
        self.settlement = Settlement()
        self._listed: frozenset[VmId] = frozenset()
        self._held: float = 0

    def follow(
        self, view: ShareView, listed: frozenset[VmId], now_ms: float
    ) -> None:
        """Take over newer documents.

        :param listed: all VMs published in the data centre.
        """
        self._listed = listed
        if view != self.view:
            held = min(self.amount(now_ms), view.amount)
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

    def amount(self, now_ms: float) -> float:
        """Say how much nobody else can still hold."""
        if self.settlement.settled(now_ms):
            self._held = self.view.amount
        return self._held

    def _settle(self, held: float, view: ShareView, now_ms: float) -> None:
        holders = view.circle.union(self.view.lenders)
        self._held = held
        self.view = view
        if held < view.amount:
            self.settlement.begin(holders, self._listed, now_ms)
