"""Replica selection, throttling and retry budgets."""

from itertools import repeat
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.catalog.routes import Gather
from dandelionstage.placing.budget_loans import Loans
from dandelionstage.placing.connection_limit import max_connections_per_vm
from dandelionstage.placing.fleet_retry_budget import (
    FleetRetryBudgets,
    RetryBudgetLimits,
)
from dandelionstage.placing.shard_choice import (
    choose_skipped_shards,
    unreachable_shards,
)
from dandelionstage.placing.slow_server_reports import (
    apply_slow_reports,
    list_slow_servers,
)
from dandelionstage.placing.slowness import Slowness
from dandelionstage.placing.throttle import Throttle

from .gateway_harness import GatewayHarness


def test_slowness_rises_within_two_answers_and_decays_within_seconds():
    slowness = Slowness()
    slowness.observe(10, 0)
    slowness.observe(10, 100)
    assert slowness.ratio(100) > 5
    assert slowness.ratio(12_000) == pytest.approx(1, abs=0.2)


def test_consecutive_failures_raise_the_ratio_up_to_a_limit():
    slowness = Slowness()
    ratios = []
    for number in range(10):
        slowness.observe_failure(number)
        ratios.append(slowness.ratio(number))
    assert ratios == sorted(ratios)
    assert ratios[-1] <= 128


def test_local_server_is_preferred_unless_it_is_slow():
    harness = GatewayHarness({'s': 2})
    local, remote = map(harness.replicas.replica, ('s-0', 's-1'))
    remote.is_remote = True
    assert harness.replicas.choose('s', 0) is local
    local.slowness.observe(10, 0)
    assert harness.replicas.choose('s', 0) is remote


LIMITS = RetryBudgetLimits(ratio=0.2, slack=20, window_s=10)


class BudgetedVm:
    """A VM's retry budget and its loans."""

    def __init__(self, limits, vm_count):
        self.loans = Loans()
        self.budgets = FleetRetryBudgets(limits, lambda: vm_count, self.loans)

    def borrow(self, lender, name, at_ms, delay_ms=0.0):
        """Borrow from another VM; the reply is delayed and delivered twice."""
        loan = lender.budgets.lend(name, at_ms, at_ms + delay_ms)
        for _ in range(2 if loan else 0):
            self.loans.accept(id(lender), loan)
        return loan


def spend_all(vm, at_ms):
    return sum(vm.budgets.try_spend('s', at_ms) for _ in range(40))


def check_fleet_budget(primaries, extras):
    """Check the fleet's limit in the 10 s after each extra attempt.

    ``primaries`` holds the times of first attempts, ``extras`` those of retries
    and hedges, all in milliseconds.
    """
    for start in extras:
        window = [at for at in extras if start <= at < start + 10_000]
        covered = [
            at for at in primaries if start - 10_000 <= at < start + 10_000
        ]
        assert len(window) <= 0.2 * len(covered) + 20


@pytest.mark.parametrize('vm_count', [1, 2, 5, 14])
@given(data=st.data())
def test_extra_attempts_of_all_vms_stay_within_the_fleet_budget(vm_count, data):
    """Check every window for any sequence of loans, including delayed ones."""
    vms = [BudgetedVm(LIMITS, vm_count) for _ in range(vm_count)]
    numbers = st.integers(0, vm_count - 1)
    events = data.draw(
        st.lists(
            st.tuples(
                st.floats(0, 45_000),
                numbers,
                numbers,
                st.sampled_from(['ask', 'fail', 'borrow']),
                st.floats(0, 3000),
            ),
            max_size=120,
        ),
    )
    primaries, extras = [], []
    for at_ms, vm, other, kind, delay_ms in sorted(events):
        if kind == 'borrow' and vm != other:
            vms[vm].borrow(vms[other], vm, at_ms, delay_ms)
        else:
            vms[vm].budgets.count_request('s', at_ms)
            primaries.append(at_ms)
        if kind == 'fail':
            extras.extend(repeat(at_ms, spend_all(vms[vm], at_ms)))
    check_fleet_budget(primaries, extras)


def test_busy_vm_borrows_from_idle_vms():
    """Load pattern: 141 VMs share 346 extra attempts; few VMs have callers."""
    limits = RetryBudgetLimits(ratio=0.2, slack=346, window_s=10)
    busy, *others = (BudgetedVm(limits, 141) for _ in range(141))
    spent = 0
    for second in range(10):
        at_ms = 60_000.0 + 1000 * second
        busy.budgets.count_request('s', at_ms)
        spent += spend_all(busy, at_ms)
        assert busy.loans.should_borrow(at_ms)
        for lender in others[4 * second : 4 * second + 4]:
            busy.borrow(lender, 'busy', at_ms)
    assert spent >= 20
    assert not busy.borrow(others[0], 'another', 71_000.0)


def test_delayed_loan_ends_early_and_blocks_the_lender_one_window_longer():
    lender, borrower = BudgetedVm(LIMITS, 2), BudgetedVm(LIMITS, 2)
    borrower.borrow(lender, 'b', 0.0, delay_ms=2500.0)
    before = borrower.budgets.remaining('s', 7_900.0)
    after = borrower.budgets.remaining('s', 8_100.0)
    assert before > after
    assert lender.budgets.remaining('s', 20_000.0) < after
    assert lender.budgets.remaining('s', 21_000.0) == after


def test_vm_that_spent_its_budget_lends_nothing_until_the_window_ends():
    lender, borrower = BudgetedVm(LIMITS, 1), BudgetedVm(LIMITS, 1)
    assert spend_all(lender, 0.0) > 0
    assert borrower.borrow(lender, 'b', 100.0) is None
    assert borrower.borrow(lender, 'b', 12_000.0) is not None


def test_budget_recovers_as_the_window_advances():
    budgets = FleetRetryBudgets(LIMITS, lambda: 1)
    assert sum(budgets.try_spend('s', 0) for _ in range(100)) <= 20
    assert not budgets.try_spend('s', 100)
    assert budgets.try_spend('s', 5000)


def test_connections_of_all_vms_stay_within_the_servers_limit():
    for vm_count in range(1, 200):
        share = max_connections_per_vm(52, vm_count)
        assert share >= 1
        assert share == 1 or share * vm_count <= 52


def test_throttle_skips_requests_to_an_overloaded_server():
    """Load pattern: 10 requests per second, one in five answered in time."""
    throttle, random = Throttle(), Random(2)
    sent = 0
    for step in range(400):
        at_ms = step * 100.0
        if random.random() >= throttle.skip_probability(at_ms):
            sent += 1
            throttle.record_sent(at_ms)
            if sent % 5 == 0:
                throttle.record_answer(at_ms)
    assert sent < 300


def test_throttle_skips_nothing_while_a_server_answers():
    throttle = Throttle()
    for step in range(100):
        throttle.record_sent(step * 100.0)
        if step % 20:
            throttle.record_answer(step * 100.0)
        assert not throttle.skip_probability(step * 100.0)


def test_queries_skip_different_overloaded_shards():
    """Load pattern: four of twenty shards do not answer; two may be missing."""
    shards = tuple('s{0}'.format(number) for number in range(20))
    harness = GatewayHarness(dict.fromkeys(shards, 1))
    gather = Gather(shards, 5, 0.89)
    for shard in shards[:4]:
        throttle = harness.replicas.for_service(shard)[0].throttle
        for _ in range(20):
            throttle.record_sent(0)
    skipped = [
        choose_skipped_shards(gather, harness.replicas, 0, Random(seed))
        for seed in range(100)
    ]
    assert all(len(each) <= 2 for each in skipped)
    assert sum(map(len, skipped)) > 150
    assert set().union(*skipped) == set(shards[:4])


def test_overloaded_shards_that_an_answer_can_lack_are_not_skipped():
    shards = tuple('s{0}'.format(number) for number in range(20))
    harness = GatewayHarness(dict.fromkeys(shards, 1))
    throttle = harness.replicas.for_service('s0')[0].throttle
    for _ in range(20):
        throttle.record_sent(0)
    gather = Gather(shards, 5, 0.89)
    assert not choose_skipped_shards(gather, harness.replicas, 0, Random(1))


def test_shards_are_unreachable_only_if_all_replicas_are_unresponsive():
    shards = tuple('s{0}'.format(number) for number in range(10))
    harness = GatewayHarness(dict.fromkeys(shards, 2))
    gather = Gather(shards, 5, 0.9)
    for replica in harness.replicas:
        if replica.record.service in shards[:2]:
            replica.throttle.record_sent(0)
            replica.throttle.record_sent(100)
    assert not unreachable_shards(gather, harness.replicas, 400)
    assert unreachable_shards(gather, harness.replicas, 600) == shards[:2]
    harness.replicas.for_service('s0')[0].throttle.record_reply()
    assert not unreachable_shards(gather, harness.replicas, 600)


def test_reported_slow_server_is_avoided_by_other_vms():
    """Load pattern: many VMs, each with too few requests to detect it."""
    reporter, other = GatewayHarness({'s': 2}), GatewayHarness({'s': 2}, seed=2)
    reporter.replicas.replica('s-0').slowness.observe(10, 0)
    apply_slow_reports(
        other.replicas, list_slow_servers(reporter.replicas, 500), 700
    )
    assert other.replicas.choose('s', 700).record.server == 's-1'


def test_received_reports_are_not_passed_on_and_own_data_wins():
    reporter, other = GatewayHarness({'s': 2}), GatewayHarness({'s': 2})
    reporter.replicas.replica('s-0').slowness.observe(10, 0)
    reports = list_slow_servers(reporter.replicas, 100)
    apply_slow_reports(other.replicas, reports, 200)
    assert not list_slow_servers(other.replicas, 200)
    own = other.replicas.replica('s-1').slowness
    own.observe(1, 300)
    apply_slow_reports(other.replicas, [('s-1', 9), ('unknown', 9)], 400)
    assert own.ratio(400) == 1
    assert not list_slow_servers(reporter.replicas, 5000)


def test_connected_replica_is_preferred():
    """Load pattern: many VMs, a query every few seconds, three replicas."""
    harness = GatewayHarness({'s': 3})
    for server in ('s-0', 's-2'):
        harness.pools[server].has_idle_connection = False
    chosen = {harness.replicas.choose('s', 0).record.server for _ in range(50)}
    assert chosen == {'s-1'}
    harness.replicas.replica('s-1').slowness.observe(5, 0)
    assert harness.replicas.choose('s', 0).record.server != 's-1'
