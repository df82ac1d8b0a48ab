"""Turn counts into metric families of the Prometheus client."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final, final

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from ..model.verdict import Reason
from .counts import CustomerTable
from .labels import Event
from .latency_family import PREFIX, latency_family

__all__ = ('Gauge', 'MetricsCollector')

#: Counted fields of a customer, with what each one means.
_CUSTOMER_COUNTERS: Final = (
    ('answers', 'Queries answered, whole or in part.'),
    ('complete', 'Answers that cover every shard.'),
    ('within_contract', 'Answers as fast and as complete as promised.'),
    ('shards_answered', 'Shards answered, summed over all answers.'),
    ('shards_asked', 'Shards asked, summed over all answers.'),
    ('primaries', 'First attempts.'),
    ('extra_load', 'Hedges and retries.'),
)


@final
@dataclass(frozen=True, slots=True)
class Gauge:
    """A figure that is read when the metrics are rendered.

    :ivar name: without the prefix, its unit as the suffix.
    """

    name: str
    description: str
    read: Callable[[], float]


@final
@dataclass(frozen=True, slots=True, eq=False)
class MetricsCollector(Collector):
    """Shows the counts of a process to the Prometheus client."""

    refusals: Counter[Reason]
    retries: Counter[Reason]
    events: Counter[Event]
    event_sources: Mapping[Event, Callable[[], int]]
    customers: CustomerTable
    gauges: Sequence[Gauge]

    def collect(self) -> Iterator[Metric]:
        """Yield every family, with each reason and event, also at zero."""
        yield _by_label('refusals', 'reason', self.refusals)
        yield _by_label('retries', 'reason', self.retries)
        yield _by_label('events', 'event', self._all_events())
        yield from _customer_counters(self.customers)
        yield _customer_refusals(self.customers)
        yield latency_family(self.customers)
        for gauge in self.gauges:
            name = PREFIX.format(gauge.name)
            yield GaugeMetricFamily(name, gauge.description, gauge.read())

    def _all_events(self) -> Mapping[Event, int]:
        events = self.events.copy()
        for event, read in self.event_sources.items():
            events[event] += read()
        return events


def _by_label(
    name: str,
    label: str,
    counts: Mapping[Reason, int] | Mapping[Event, int],
) -> CounterMetricFamily:
    family = CounterMetricFamily(
        PREFIX.format(name),
        'Counted since the process started, by {0}.'.format(label),
        labels=(label,),
    )
    for kind, count in counts.items():
        family.add_metric((_text(kind),), count)
    return family


def _text(kind: Enum) -> str:
    return str(kind.value)


def _customer_counters(
    customers: CustomerTable,
) -> Iterator[CounterMetricFamily]:
    for field, description in _CUSTOMER_COUNTERS:
        family = CounterMetricFamily(
            PREFIX.format('customer_{0}'.format(field)),
            description,
            labels=('customer',),
        )
        for customer, counts in customers.items():
            family.add_metric((customer,), getattr(counts, field))
        yield family


def _customer_refusals(customers: CustomerTable) -> CounterMetricFamily:
    family = CounterMetricFamily(
        PREFIX.format('customer_refusals'),
        'Requests refused, by customer and reason.',
        labels=('customer', 'reason'),
    )
    for customer, counts in customers.items():
        for reason, count in counts.refusals.items():
            family.add_metric((customer, reason.value), count)
    return family
