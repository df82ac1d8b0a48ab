"""The quotas of all customers at one VM."""

from typing import final

from ..configuration.topology import Topology
from ..model.ids import CustomerId, DataCentreId, VmId
from .published_vms import PublishedVms, list_data_centres, list_published
from .quota_account import QuotaAccount
from .quota_meter import QuotaMeter
from .quota_split import NO_QUOTA, QuotaShare, split_quota

__all__ = ('Quotas',)


@final
class Quotas:
    """Admits each customer's work within the quota of its contract.

    The rates of all VMs together never exceed a contract's ``work_per_s``:
    the static shares fit while the lists of VMs differ by up to two VMs, and
    a VM lends only the part of its own share that it has not lent yet.

    :ivar accounts: quota accounts by customer.
    """

    def __init__(self, vm: VmId, data_centre: DataCentreId) -> None:
        """Create quotas without customers."""
        self.accounts: dict[str, QuotaAccount] = {}
        self._vm = vm
        self._data_centre = data_centre
        self._meters: dict[str, QuotaMeter] = {}

    def use_topology(self, topology: Topology, now_ms: float) -> None:
        """Apply newly published contracts and lists of VMs."""
        published = list_published(topology, self._data_centre)
        for customer, share in self._split(topology, published).items():
            if customer not in self.accounts:
                self._add_account(customer, now_ms)
            self.refill(customer, now_ms)
            account = self.accounts[customer]
            account.static_per_s = share.static_per_s
            account.own.follow(share.pool_share, published.listed, now_ms)

    def take(self, customer: CustomerId, cost: int, now_ms: float) -> float:
        """Admit work, or return the time until it may be admitted.

        :param cost: sub-requests.
        :returns: 0 if the work is admitted, else the waiting time in ms.
        """
        return self._meters[customer].take(cost, now_ms)

    def refill(self, customer: str, now_ms: float) -> None:
        """Refill a customer's bucket; call this before its account changes."""
        meter = self._meters.get(customer)
        if meter is not None:
            meter.refill(now_ms)

    def require_confirmation(self, now_ms: float) -> None:
        """Require that all shares are confirmed again after a long pause."""
        for customer, account in self.accounts.items():
            account.own.require_confirmation(now_ms)
            self.refill(customer, now_ms)

    def _split(
        self, topology: Topology, published: PublishedVms
    ) -> dict[str, QuotaShare]:
        data_centres = len(list_data_centres(topology))
        shares = dict.fromkeys(self.accounts, NO_QUOTA)
        for contract in topology.contracts.values():
            shares[contract.customer] = split_quota(
                self._vm,
                contract,
                published,
                data_centres,
            )
        return shares

    def _add_account(self, customer: str, now_ms: float) -> None:
        account = QuotaAccount()
        self.accounts[customer] = account
        self._meters[customer] = QuotaMeter(account, now_ms)
