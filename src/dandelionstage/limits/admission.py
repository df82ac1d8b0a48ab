"""Admission control for the requests of callers."""

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

_MIN_RETRY_AFTER_MS: Final = 10
_MAX_RETRY_AFTER_MS: Final = 5000
#: After a longer pause, other VMs may have taken over shares of this VM.
_MAX_PAUSE_MS: Final = CONFIRMATION_TIMEOUT_MS / 2


@final
class Admission:
    """Admits requests within the limits of each customer's contract.

    One customer's requests never use up the limits of another.

    :ivar quota_leases: borrows and lends shares of quotas; the caller sends
        and receives its messages.
    """

    def __init__(
        self, vm: VmId, data_centre: DataCentreId, random: Random
    ) -> None:
        """Create a controller without contracts."""
        self._quotas = Quotas(vm, data_centre)
        self.quota_leases = QuotaLeases(vm, self._quotas, random)
        self._max_concurrent: dict[CustomerId, int] = {}
        self._in_flight = Counter[CustomerId]()
        self._last_call_ms = float('inf')

    def use_topology(self, topology: Topology, now_ms: float) -> None:
        """Apply newly published contracts and lists of VMs."""
        self._check_for_pause(now_ms)
        self._quotas.use_topology(topology, now_ms)
        self._max_concurrent = {
            customer: _max_concurrent_queries(contract, topology)
            for customer, contract in topology.contracts.items()
        }

    def admit(
        self, contract: Contract, cost: int, now_ms: float
    ) -> Verdict | None:
        """Admit a request, or return why it is refused.

        Call ``release`` once for each admitted request.

        :param cost: sub-requests that the request needs, one for each shard.
        :returns: ``None`` if the request is admitted.
        """
        self._check_for_pause(now_ms)
        customer = contract.customer
        if customer not in self._max_concurrent:
            return not_run(Reason.UNKNOWN_CUSTOMER)
        if self._in_flight[customer] >= self._max_concurrent[customer]:
            return not_run(
                Reason.ADMISSION_FULL,
                'too many queries of this customer are in flight here',
                _MIN_RETRY_AFTER_MS,
            )
        wait_ms = self._quotas.take(customer, cost, now_ms)
        if wait_ms > 0:
            return not_run(
                Reason.QUOTA_EXCEEDED,
                'the contract allows no more work now',
                _clamp_retry_ms(wait_ms),
            )
        self._in_flight[customer] += 1
        return None

    def release(self, contract: Contract) -> None:
        """Record the end of an admitted request."""
        self._in_flight[contract.customer] -= 1

    def rate_per_s(self, customer: CustomerId, now_ms: float) -> float:
        """Return the sub-requests per second that this VM may admit."""
        return self._quotas.accounts[customer].rate_per_s(now_ms)

    def tick(self, now_ms: float) -> None:
        """Detect a pause of the process; call this at least once a second."""
        self._check_for_pause(now_ms)

    def _check_for_pause(self, now_ms: float) -> None:
        paused_ms = now_ms - self._last_call_ms
        self._last_call_ms = now_ms
        if paused_ms > _MAX_PAUSE_MS:
            self._quotas.require_confirmation(now_ms)


def _max_concurrent_queries(contract: Contract, topology: Topology) -> int:
    limits = derive_limits(contract, measure_fleet(topology, contract))
    return limits.concurrent_queries


def _clamp_retry_ms(wait_ms: float) -> int:
    return int(min(max(wait_ms, _MIN_RETRY_AFTER_MS), _MAX_RETRY_AFTER_MS))
