"""Targets of the policies, under virtual time and with one seed."""

from tools.policy.experiments import compare_order, compare_owner
from tools.policy.neighbour import measure_neighbour

RUN_MS = 6000
LEAST_IN_TIME = 0.99
LEAST_USEFUL = 0.9
MOST_ATTEMPTS = 1.1
MOST_P99_RATIO = 1.1


def list_figures(rows):
    """List what the policy reaches, by what was measured."""
    return {row.measured.rpartition(':')[2].strip(): row.policy for row in rows}


def test_urgent_work_is_answered_at_three_times_the_load():
    figures = list_figures(compare_order(RUN_MS))
    assert figures['urgent in time'] > LEAST_IN_TIME
    assert figures['useful answers, of those at full load'] > LEAST_USEFUL
    assert not figures['expired starts']
    assert figures['attempts per sub-request'] < MOST_ATTEMPTS


def test_one_owner_never_overruns_a_server():
    figures = list_figures(compare_owner(RUN_MS))
    assert figures['answered in time'] > LEAST_IN_TIME
    assert not figures['slot overruns per attempt']
    assert figures['attempts per sub-request'] < MOST_ATTEMPTS


def test_neighbour_beyond_its_contract_costs_little():
    beside = tuple(measure_neighbour(RUN_MS))[-1]
    assert beside.policy < MOST_P99_RATIO * beside.baseline
