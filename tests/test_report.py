"""The report judges contracts by what all daemons counted together."""

from types import MappingProxyType
from typing import Final

import pytest

from dandelionstage.cli.judgement import Judgement
from dandelionstage.cli.report import CustomerReport, report_on
from dandelionstage.model.coverage import Coverage
from dandelionstage.model.ids import CustomerId, ShardId
from dandelionstage.model.verdict import Reason
from dandelionstage.operations.labels import Hop
from dandelionstage.operations.metrics import Metrics
from dandelionstage.operations.show import customer_statuses, nonzero_retries
from dandelionstage.operations.status import Status

FINDERS = CustomerId('finders')
PROMISE: Final = MappingProxyType(
    {
        'p99_ms': 100,
        'deadline_ms': 500,
        'minimum_coverage': 0.9,
        'work_per_s': 1000,
        'extra_load_fraction': 0.05,
        'priority': 'urgent',
        'workloads': ('finder-desk',),
    }
)


def status_of(metrics: Metrics, revision: int = 1, **promise: int) -> Status:
    return Status.model_validate(
        {
            'vm': 'a.1',
            'data_centre': 'a',
            'incarnation': 1,
            'state': 'serving',
            'ready': True,
            'detail': '',
            'live_vms': {},
            'documents': {'contract/finders': revision},
            'promises': {'finders': {**PROMISE, **promise}},
            'customers': customer_statuses(metrics),
            'retries': nonzero_retries(metrics),
        },
    )


def answered(times: int, elapsed_ms: float = 10, extra: int = 0) -> Metrics:
    metrics = Metrics()
    for _ in range(times):
        metrics.observe(Hop.QUERY, FINDERS, elapsed_ms)
        metrics.count_answer(
            FINDERS,
            Coverage(20, ()),
            extra_load=extra,
            primaries=20,
            within_contract=elapsed_ms <= 100,
        )
    return metrics


def judged(*statuses: Status) -> CustomerReport:
    return report_on(statuses, ()).customers[0]


def test_a_kept_contract():
    report = judged(status_of(answered(50)), status_of(answered(50)))
    assert report.judgement is Judgement.KEPT
    assert report.totals.answers == 100
    assert report.latency_ms['0.99'] == pytest.approx(10, rel=0.01)


def test_no_traffic_is_not_called_kept():
    assert judged(status_of(Metrics())).judgement is Judgement.NO_TRAFFIC


def test_slow_answers_of_one_daemon_break_the_contract():
    slow = answered(2, elapsed_ms=300)
    report = judged(status_of(answered(98)), status_of(slow))
    assert report.judgement is Judgement.NOT_KEPT
    assert len(report.breaches) == 2


@pytest.mark.parametrize(
    ('reason', 'judgement'),
    [
        (Reason.QUOTA_EXCEEDED, Judgement.KEPT),
        (Reason.QUEUE_SHED, Judgement.NOT_KEPT),
        (Reason.COVERAGE_TOO_LOW, Judgement.NOT_KEPT),
    ],
)
def test_only_refusals_by_the_fleet_break_the_contract(reason, judgement):
    metrics = answered(98)
    metrics.count_refusal(reason, FINDERS)
    metrics.count_refusal(reason, FINDERS)
    assert judged(status_of(metrics)).judgement is judgement


def test_extra_load_beyond_what_may_be_saved_up():
    report = judged(status_of(answered(100, extra=2)))
    assert report.breaches == ('200 extra attempts, allowed 120',)


def test_the_newest_contract_is_judged():
    stale = status_of(Metrics(), revision=1, p99_ms=5)
    report = judged(stale, status_of(answered(9), revision=2))
    assert report.judgement is Judgement.KEPT


def test_a_missing_shard_shows_in_the_totals():
    metrics = Metrics()
    metrics.count_answer(
        FINDERS,
        Coverage(19, (ShardId('s'),)),
        extra_load=0,
        primaries=20,
        within_contract=True,
    )
    totals = judged(status_of(metrics)).totals
    assert (totals.complete, totals.shards_answered) == (0, 19)


def test_a_silent_daemon_is_no_kept_contract():
    whole = report_on((status_of(answered(9)),), ('http://b',))
    assert not whole.kept
