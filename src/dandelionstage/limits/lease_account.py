"""What a shared limit must offer so that it can be lent and borrowed."""

from collections.abc import Mapping
from typing import Protocol

from ..model.ids import VmId
from .leases import BorrowedLeases
from .own_share import OwnShare

__all__ = ('LeaseAccount', 'LeaseAccounts')


class LeaseAccount(Protocol):
    """One limit, shared by the VMs of a data centre.

    :ivar own: this VM's share by the published list.
    :ivar borrowed: what others lend.
    """

    own: OwnShare
    borrowed: BorrowedLeases

    def amount_to_borrow(
        self, lender: VmId, demand: float, now_ms: float
    ) -> float:
        """Say what to borrow or renew from a lender, 0 for nothing."""

    def lend(self, vm: VmId, wanted: float, now_ms: float) -> float:
        """Lend what is free; return how much."""

    def holds_nothing_of(self, vm: VmId, now_ms: float) -> bool:
        """Say whether nothing of another VM's share is held here."""


LeaseAccounts = Mapping[str, LeaseAccount]
