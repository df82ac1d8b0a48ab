"""Log lines and counts: bounded, never waited for, counted all the same."""

import json
import os

import pytest
from prometheus_client.parser import text_string_to_metric_families

from dandelionstage.operations.events import EventLog, open_output
from dandelionstage.operations.gateway_counts import GatewayCounts
from dandelionstage.operations.gateway_metrics import render_metrics


class Clock:
    def __init__(self):
        self.now_ms = 0.0

    def __call__(self):
        return self.now_ms


def make_log(clock):
    lines = []

    def write(pending):
        lines.extend(map(json.loads, pending.splitlines()))
        return len(pending)

    return EventLog(write, clock, vm='v1'), lines


def test_line_has_its_kind_fields_and_vm():
    log, lines = make_log(Clock())
    log.event('hedge', request='r1', budget_left=2.5)
    assert lines[0]['event'] == 'hedge'
    assert lines[0]['vm'] == 'v1'
    assert lines[0]['budget_left'] == pytest.approx(2.5)


def test_lines_of_one_kind_are_bounded_and_what_is_withheld_is_counted():
    clock = Clock()
    log, lines = make_log(clock)
    for _ in range(1000):
        log.event('hedge', request='r')
    log.event('other')
    assert len(lines) < 60
    clock.now_ms = 1500
    log.event('hedge', request='r')
    withheld = [line for line in lines if line['event'] == 'lines_withheld']
    assert withheld[0]['count'] == 960
    assert log.counts.events['hedge'] == 1001


def test_reader_that_stopped_reading_is_not_waited_for():
    """A pipe that nobody reads fills up; memory stays bounded."""
    reading, writing = os.pipe()
    clock = Clock()
    log = EventLog(open_output(writing), clock)
    for number in range(20_000):
        clock.now_ms = number * 30.0
        log.event('hedge', text='x' * 200)
    assert log.dropped
    assert len(log._pending) < 300_000
    clock.now_ms += 2000
    os.close(reading)
    log.event('hedge')
    os.close(writing)
    assert not log._pending


def test_counts_are_shown_as_counters_and_histograms():
    counts = GatewayCounts()
    counts.events['hedge'] += 2
    counts.answer('q', 200, 30)
    counts.answer('q', 200, 70_000)
    counts.part('q', 4)
    text = render_metrics(counts, lambda: {'servers_listed': 3}).decode()
    families = {
        family.name: family for family in text_string_to_metric_families(text)
    }
    latency = families['dandelionstage_gateway_latency_ms']
    below = {
        sample.labels['le']: sample.value
        for sample in latency.samples
        if sample.name.endswith('bucket') and sample.labels['hop'] == 'caller'
    }
    assert (below['20'], below['35'], below['+Inf']) == (0, 1, 2)
    assert families['dandelionstage_gateway_servers_listed'].samples
    assert 'kind="hedge"' in text


def test_routes_counted_apart_are_bounded():
    counts = GatewayCounts()
    for number in range(1000):
        counts.answer('route-{0}'.format(number), 200, 1)
    assert len(counts.answers) <= 65
    assert counts.answers['other', 200] == 1000 - 64
