"""Whether an entry takes a caller's request."""

from collections import Counter
from random import Random
from typing import Final, final

from ..configuration.topology import Topology
from ..model.contract import Contract
from ..model.ids import CustomerId, DataCentreId, VmId
from ..model.verdict import Reason, Verdict, not_run
from .derived_limits import derive_limits
from .fleet_sizes import measure_fleet
from .quota_leases import QuotaLeases
from .quotas import Quotas
from .share_confirmation import CONFIRMATION_TIMEOUT_MS

__all__ = ('Admission',)

_SHORTEST_RETRY_MS: Final = 10
_LONGEST_RETRY_MS: Final = 5000
#: After a pause this long, others may have gone on without this VM.
_DOUBT_MS: Final = CONFIRMATION_TIMEOUT_MS / 2


@final
class Admission:
    """Enforces what follows from contracts, each customer by itself.

    :ivar steward: lends and borrows quotas; its messages are the shell's
        to carry.
    """

    def __init__(
        self, vm: VmId, data_centre: DataCentreId, random: Random
    ) -> None:
        """Start without contracts."""
        self._quotas = Quotas(vm, data_centre)
        self.quota_leases = QuotaLeases(vm, self._quotas, random)
        self._most: dict[CustomerId, int] = {}
        self._in_flight = Counter[CustomerId]()
        self._seen_ms = float('inf')

    def use_topology(self, topology: Topology, now_ms: float) -> None:
        """Follow the published contracts and VMs."""
        self._wake(now_ms)
        self._quotas.use_topology(topology, now_ms)
        self._most = {
            customer: _bound_concurrency(contract, topology)
            for customer, contract in topology.contracts.items()
        }

    def admit(
        self, contract: Contract, cost: int, now_ms: float
    ) -> Verdict | None:
        """Take a request, or refuse it; each one taken is released once.

        :param cost: sub-requests that it makes: its shards.
        """
        self._wake(now_ms)
        customer = contract.customer
        if customer not in self._most:
            return not_run(Reason.UNKNOWN_CUSTOMER)
        if self._in_flight[customer] >= self._most[customer]:
            return not_run(
                Reason.ADMISSION_FULL,
                'too many queries of this customer are in flight here',
                _SHORTEST_RETRY_MS,
            )
        wait_ms = self._quotas.take(customer, cost, now_ms)
        if wait_ms > 0:
            return not_run(
                Reason.QUOTA_EXCEEDED,
                'the contract allows no more work now',
                _bound_retry(wait_ms),
            )
        self._in_flight[customer] += 1
        return None

    def release(self, contract: Contract) -> None:
        """Note the end of a request that was admitted."""
        self._in_flight[contract.customer] -= 1

    def rate_per_s(self, customer: CustomerId, now_ms: float) -> float:
        """Return the work per second that a customer may have here."""
        return self._quotas.accounts[customer].rate_per_s(now_ms)

    def tick(self, now_ms: float) -> None:
        """Notice a pause; to be called once a second at least."""
        self._wake(now_ms)

    def _wake(self, now_ms: float) -> None:
        paused_ms = now_ms - self._seen_ms
        self._seen_ms = now_ms
        if paused_ms > _DOUBT_MS:
            self._quotas.require_confirmation(now_ms)


def _bound_concurrency(contract: Contract, topology: Topology) -> int:
    limits = derive_limits(contract, measure_fleet(topology, contract))
    return limits.concurrent_queries


def _bound_retry(wait_ms: float) -> int:
    return int(min(max(wait_ms, _SHORTEST_RETRY_MS), _LONGEST_RETRY_MS))
