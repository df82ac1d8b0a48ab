"""Shows the gateway's counts in the text format of Prometheus.

The metrics library is loaded with this module, and this module only when
somebody first asks for metrics: most processes are never asked.
"""

from collections.abc import Callable, Iterator, Mapping
from itertools import accumulate
from typing import Final, final

from prometheus_client import CollectorRegistry, Metric, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from .gateway_counts import BOUNDS_MS, GatewayCounts, LatencyBuckets

__all__ = ('GaugeSource', 'render_metrics')

#: Tells the present value of each gauge by its name.
GaugeSource = Callable[[], Mapping[str, float]]

_PREFIX: Final = 'dandelionstage_gateway_{0}'


def render_metrics(counts: GatewayCounts, gauges: GaugeSource) -> bytes:
    """Write all counts and gauges."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(counts, gauges))
    return generate_latest(registry)


@final
class _Collector:
    def __init__(self, counts: GatewayCounts, gauges: GaugeSource) -> None:
        self._counts = counts
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield every family (called by the library)."""
        yield self._events()
        yield self._answers()
        yield self._latencies()
        for name, present in self._gauges().items():
            yield GaugeMetricFamily(
                _PREFIX.format(name), 'At present.', present
            )

    def _events(self) -> Metric:
        family = CounterMetricFamily(
            _PREFIX.format('events'), 'Decisions by kind.', labels=('kind',)
        )
        for kind, count in self._counts.events.items():
            family.add_metric((kind,), count)
        return family

    def _answers(self) -> Metric:
        family = CounterMetricFamily(
            _PREFIX.format('answers'),
            'Answers to callers.',
            labels=('route', 'status'),
        )
        for (route, status), count in self._counts.answers.items():
            family.add_metric((route, str(status)), count)
        return family

    def _latencies(self) -> Metric:
        family = HistogramMetricFamily(
            _PREFIX.format('latency_ms'),
            'Time to answer, by whose waiting it is.',
            labels=('hop', 'route'),
        )
        for (hop, route), buckets in self._counts.latencies.items():
            family.add_metric(
                (hop.value, route), _cumulated(buckets), buckets.sum_ms
            )
        return family


def _cumulated(buckets: LatencyBuckets) -> list[tuple[str, float]]:
    bounds = (*map(str, BOUNDS_MS), '+Inf')
    return list(zip(bounds, accumulate(buckets.counts), strict=True))
