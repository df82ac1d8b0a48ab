"""Metrics: every reason is there at zero, and customers are bounded."""

import pytest
from prometheus_client.parser import text_string_to_metric_families

from dandelionstage.model.coverage import Coverage
from dandelionstage.model.ids import CustomerId, ShardId
from dandelionstage.model.verdict import Reason
from dandelionstage.operations.collector import Gauge
from dandelionstage.operations.counts import OTHER_CUSTOMERS
from dandelionstage.operations.labels import Event, Hop
from dandelionstage.operations.latency import LatencyHistogram, merged
from dandelionstage.operations.metrics import Metrics
from dandelionstage.operations.show import customer_statuses

FINDER = CustomerId('finder')


def samples(metrics: Metrics) -> dict[tuple[str, ...], float]:
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in families
        for sample in family.samples
    }


@pytest.mark.parametrize('name', ['refusals', 'retries'])
def test_every_reason_is_at_zero_from_the_start(name):
    shown = samples(Metrics())
    full = 'dandelionstage_{0}_total'.format(name)
    assert {shown[full, reason.value] for reason in Reason} == {0}


def test_every_event_is_at_zero_from_the_start():
    shown = samples(Metrics())
    full = 'dandelionstage_events_total'
    assert {shown[full, event.value] for event in Event} == {0}


def test_refusals_and_retries_are_counted_by_reason():
    metrics = Metrics()
    metrics.count_refusal(Reason.QUOTA_EXCEEDED, FINDER)
    metrics.count_retry(Reason.HEDGED)
    shown = samples(metrics)
    assert shown['dandelionstage_refusals_total', 'quota_exceeded'] == 1
    assert shown['dandelionstage_retries_total', 'hedged'] == 1
    by_customer = 'dandelionstage_customer_refusals_total'
    assert shown[by_customer, 'finder', 'quota_exceeded'] == 1


def test_an_answer_counts_coverage_and_extra_load():
    metrics = Metrics()
    metrics.count_answer(
        FINDER,
        Coverage(19, (ShardId('s20'),)),
        extra_load=2,
        primaries=20,
        within_contract=False,
    )
    status = customer_statuses(metrics)[FINDER]
    assert (status.answers, status.complete) == (1, 0)
    assert (status.shards_answered, status.shards_asked) == (19, 20)
    assert (status.extra_load, status.primaries) == (2, 20)
    assert not status.within_contract


def test_a_refused_query_counts_its_work_and_no_answer():
    metrics = Metrics()
    metrics.customers.of(FINDER).add_work(extra_load=1, primaries=20)
    status = customer_statuses(metrics)[FINDER]
    assert (status.extra_load, status.primaries) == (1, 20)
    assert not status.answers


def test_latency_quantiles_by_customer_and_hop():
    metrics = Metrics()
    for elapsed_ms in range(1, 101):
        metrics.observe(Hop.QUERY, FINDER, elapsed_ms)
    shown = samples(metrics)
    p99 = shown['dandelionstage_latency_ms', 'finder', 'query', '0.99']
    assert p99 == pytest.approx(99, rel=0.01)
    assert shown['dandelionstage_latency_ms_count', 'finder', 'query'] == 100


@pytest.mark.parametrize('elapsed_ms', [0, -1, 1e12])
def test_a_latency_out_of_range_is_still_recorded(elapsed_ms):
    histogram = LatencyHistogram()
    histogram.record(elapsed_ms)
    assert histogram.summary().count == 1


def test_histograms_merge_across_processes():
    near = LatencyHistogram()
    far = LatencyHistogram()
    near.record(1)
    far.record(100)
    encoded = (near.summary().encoded, far.summary().encoded)
    whole = merged(encoded).summary()
    assert whole.count == 2
    assert whole.quantiles_ms['0.99'] == pytest.approx(100, rel=0.01)


def test_a_prepared_summary_is_given_once():
    histogram = LatencyHistogram()
    histogram.record(1)
    histogram.prepare()
    histogram.record(1)
    assert [histogram.summary().count for _ in range(2)] == [1, 2]


def test_each_histogram_is_prepared_in_a_step_of_its_own():
    metrics = Metrics()
    for hop in Hop:
        metrics.observe(hop, FINDER, 1)
    assert len(list(metrics.customers.prepare())) == len(Hop)


def test_customers_beyond_the_bound_are_counted_together():
    metrics = Metrics(max_customers=2)
    for customer in 'abcd':
        metrics.count_refusal(Reason.UNAUTHORIZED, CustomerId(customer))
    assert list(customer_statuses(metrics)) == [OTHER_CUSTOMERS, 'a', 'b']


def test_a_gauge_is_read_at_each_rendering():
    metrics = Metrics()
    pending = [1, 2]
    metrics.gauges.append(Gauge('pending', 'Waiting.', pending.pop))
    assert samples(metrics)['dandelionstage_pending',] == 2
    assert samples(metrics)['dandelionstage_pending',] == 1


def test_events_counted_elsewhere_are_added():
    metrics = Metrics()
    metrics.count_event(Event.LATE_REPLY)
    metrics.event_sources[Event.LATE_REPLY] = lambda: 4
    for _ in range(2):
        assert (
            samples(metrics)['dandelionstage_events_total', 'late_reply'] == 5
        )
