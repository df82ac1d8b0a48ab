"""A VM's own share of a limit."""

from typing import final

from ..model.ids import VmId
from .published_share import NO_SHARE, PublishedShare
from .share_confirmation import ShareConfirmation

__all__ = ('OwnShare',)


@final
class OwnShare:
    """Tracks how much of its own share a VM may use.

    The usable amount shrinks as soon as newer documents lower the share, and
    grows only once the other VMs have confirmed the change or a time-out has
    passed. The shares of all VMs together thus stay within the limit while
    some VMs still follow an older list.

    :ivar published: the shares by the newest documents.
    :ivar confirmation: whether the whole published share may be used.
    """

    def __init__(self) -> None:
        """Create an empty share."""
        self.published = NO_SHARE
        self.confirmation = ShareConfirmation()
        self._listed: frozenset[VmId] = frozenset()
        self._usable: float = 0

    def follow(
        self, published: PublishedShare, listed: frozenset[VmId], now_ms: float
    ) -> None:
        """Apply the share of newer documents.

        :param listed: all VMs published in the data centre, leaving ones too.
        """
        self._listed = listed
        if published != self.published:
            usable = min(self.amount(now_ms), published.amount)
            self._await_confirmation(usable, published, now_ms)

    def require_confirmation(self, now_ms: float) -> None:
        """Discard the usable amount until the share is confirmed again.

        Called after a pause of the process, when its documents may be old.
        """
        self._await_confirmation(0, self.published, now_ms)

    def confirm(self, vm: VmId, digest: str) -> bool:
        """Record the digest that another VM has confirmed.

        :returns: whether it is equal to the digest of this VM.
        """
        if digest != self.published.digest:
            return False
        self.confirmation.confirm(vm)
        return True

    def amount(self, now_ms: float) -> float:
        """Return the usable amount, which no other VM can still use."""
        if self.confirmation.is_complete(now_ms):
            self._usable = self.published.amount
        return self._usable

    def _await_confirmation(
        self, usable: float, published: PublishedShare, now_ms: float
    ) -> None:
        holders = published.possible_holders.union(self.published.lenders)
        self._usable = usable
        self.published = published
        if usable < published.amount:
            self.confirmation.begin(holders, self._listed, now_ms)
