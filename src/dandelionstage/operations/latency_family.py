"""Latency quantiles as a metric family of the Prometheus client."""

from collections.abc import Mapping
from typing import Final

from prometheus_client import Metric

from .counts import CustomerCounts, CustomerTable
from .latency import LatencySummary

__all__ = ('PREFIX', 'latency_family')

#: What the name of each metric starts with.
PREFIX: Final = 'dandelionstage_{0}'


def latency_family(customers: CustomerTable) -> Metric:
    """Show every histogram as a summary with its quantiles."""
    family = Metric(
        PREFIX.format('latency_ms'),
        'Latency by customer and hop.',
        'summary',
    )
    for customer, counts in customers.items():
        _add_customer(family, customer, counts)
    return family


def _add_customer(
    family: Metric,
    customer: str,
    counts: CustomerCounts,
) -> None:
    for hop, histogram in counts.latencies.items():
        labels = {'customer': customer, 'hop': hop.value}
        _add_summary(family, labels, histogram.summary())


def _add_summary(
    family: Metric,
    labels: Mapping[str, str],
    summary: LatencySummary,
) -> None:
    for quantile, latency_ms in summary.quantiles_ms.items():
        family.add_sample(
            family.name,
            {**labels, 'quantile': quantile},
            latency_ms,
        )
    count_name = '{0}_count'.format(family.name)
    family.add_sample(count_name, dict(labels), summary.count)
    sum_name = '{0}_sum'.format(family.name)
    family.add_sample(sum_name, dict(labels), summary.sum_ms)
