"""Interface of a limit whose shares can be lent and borrowed."""

from collections.abc import Mapping
from typing import Protocol

from ..model.ids import VmId
from .leases import BorrowedLeases
from .own_share import OwnShare

__all__ = ('LeaseAccount', 'LeaseAccounts')


class LeaseAccount(Protocol):
    """One limit that the VMs of a data centre share.

    :ivar own: this VM's share by the published list of VMs.
    :ivar borrowed: leases from other VMs.
    """

    own: OwnShare
    borrowed: BorrowedLeases

    def amount_to_borrow(
        self, lender: VmId, demand: float, now_ms: float
    ) -> float:
        """Return the amount to borrow or renew from a lender, 0 for none.

        :param demand: amount needed, including what this VM already holds.
        """

    def lend(self, vm: VmId, wanted: float, now_ms: float) -> float:
        """Lend up to the wanted amount and return the amount lent."""

    def holds_nothing_of(self, vm: VmId, now_ms: float) -> bool:
        """Whether this VM uses no part of another VM's share."""


#: Accounts by the name of the limit: a backend server or a customer.
LeaseAccounts = Mapping[str, LeaseAccount]
