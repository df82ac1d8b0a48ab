"""Turn what a daemon counted and holds into its status."""

from collections.abc import Mapping
from typing import Final

from ..model.contract import Contract
from ..model.ids import CustomerId
from ..model.verdict import Reason
from .counts import CustomerCounts
from .latency import LatencySummary
from .metrics import Metrics
from .status import CustomerStatus, HopStatus, Promise

__all__ = ('customer_statuses', 'nonzero_retries', 'promises')

_MEDIAN: Final = '0.5'
_P99: Final = '0.99'


def customer_statuses(metrics: Metrics) -> dict[CustomerId, CustomerStatus]:
    """Show what was counted for each customer."""
    return {
        customer: _show_customer(counts)
        for customer, counts in metrics.customers.items()
    }


def nonzero_retries(metrics: Metrics) -> dict[str, int]:
    """Show the retries counted so far, by reason."""
    return _nonzero(metrics.retries)


def promises(
    contracts: Mapping[CustomerId, Contract],
) -> dict[CustomerId, Promise]:
    """Show the contracts in force without their keys."""
    return {
        customer: Promise.model_validate(contract.model_dump(mode='json'))
        for customer, contract in contracts.items()
    }


def _show_customer(counts: CustomerCounts) -> CustomerStatus:
    return CustomerStatus(
        answers=counts.answers,
        complete=counts.complete,
        within_contract=counts.within_contract,
        shards_answered=counts.shards_answered,
        shards_asked=counts.shards_asked,
        primaries=counts.primaries,
        extra_load=counts.extra_load,
        refusals=_nonzero(counts.refusals),
        hops={
            hop.value: _show_hop(histogram.summary())
            for hop, histogram in counts.latencies.items()
        },
    )


def _show_hop(summary: LatencySummary) -> HopStatus:
    return HopStatus(
        count=summary.count,
        p50_ms=summary.quantiles_ms[_MEDIAN],
        p99_ms=summary.quantiles_ms[_P99],
        histogram=summary.encoded,
    )


def _nonzero(counts: Mapping[Reason, int]) -> dict[str, int]:
    return {reason.value: count for reason, count in counts.items() if count}
