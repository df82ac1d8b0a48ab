"""This VM's own share of a limit."""

from typing import final

from ..model.ids import VmId
from .published_share import NO_SHARE, PublishedShare
from .share_confirmation import ShareConfirmation

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
        self.published = NO_SHARE
        self.confirmation = ShareConfirmation()
        self._listed: frozenset[VmId] = frozenset()
        self._held: float = 0

    def follow(
        self, published: PublishedShare, listed: frozenset[VmId], now_ms: float
    ) -> None:
        """Take over newer documents.

        :param listed: all VMs published in the data centre.
        """
        self._listed = listed
        if published != self.published:
            held = min(self.amount(now_ms), published.amount)
            self._settle(held, published, now_ms)

    def require_confirmation(self, now_ms: float) -> None:
        """Ask anew: the documents may be old, as the process was paused."""
        self._settle(0, self.published, now_ms)

    def confirm(self, vm: VmId, digest: str) -> bool:
        """Note that a VM sees these shares; true if they are ours."""
        if digest != self.published.digest:
            return False
        self.confirmation.confirm(vm)
        return True

    def amount(self, now_ms: float) -> float:
        """Say how much nobody else can still hold."""
        if self.confirmation.is_complete(now_ms):
            self._held = self.published.amount
        return self._held

    def _settle(
        self, held: float, published: PublishedShare, now_ms: float
    ) -> None:
        holders = published.possible_holders.union(self.published.lenders)
        self._held = held
        self.published = published
        if held < published.amount:
            self.confirmation.begin(holders, self._listed, now_ms)
