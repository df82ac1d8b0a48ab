"""Latency quantiles as a metric family of the Prometheus client."""

from collections.abc import Mapping
from typing import Final

from prometheus_client import Metric

from .counts import CustomerCounts, CustomerTable
from .latency import QUANTILES, LatencyHistogram

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
        _add_summary(family, labels, histogram)


def _add_summary(
    family: Metric,
    labels: Mapping[str, str],
    histogram: LatencyHistogram,
) -> None:
    for quantile in QUANTILES:
        family.add_sample(
            family.name,
            {**labels, 'quantile': str(quantile)},
            histogram.quantile_ms(quantile),
        )
    name = '{0}_{1}'
    family.add_sample(
        name.format(family.name, 'count'),
        dict(labels),
        histogram.count,
    )
    family.add_sample(
        name.format(family.name, 'sum'),
        dict(labels),
        histogram.sum_ms,
    )
