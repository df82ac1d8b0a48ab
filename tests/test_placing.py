"""Replica choice, throttle and budget replayed against their load."""

from itertools import repeat
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.catalog.routes import Gather
from dandelionstage.placing.allowance import links_allowed
from dandelionstage.placing.extra_budget import BudgetTerms, ExtraBudgets
from dandelionstage.placing.loans import Loans
from dandelionstage.placing.shard_choice import (
    skipped_shards,
    unreachable_shards,
)
from dandelionstage.placing.slow_news import heed_slow, tell_slow
from dandelionstage.placing.slowness import Slowness
from dandelionstage.placing.throttle import Throttle

from .gateway_harness import GatewayHarness


def test_slow_server_is_known_after_two_answers_and_forgotten_in_seconds():
    slowness = Slowness()
    slowness.observe(10, 0)
    slowness.observe(10, 100)
    assert slowness.ratio(100) > 5
    assert slowness.ratio(12_000) == pytest.approx(1, abs=0.2)


def test_failures_in_a_row_weigh_more_and_are_bounded():
    slowness = Slowness()
    ratios = []
    for number in range(10):
        slowness.fail(number)
        ratios.append(slowness.ratio(number))
    assert ratios == sorted(ratios)
    assert ratios[-1] <= 128


def test_near_server_first_unless_it_works_or_is_slow():
    world = GatewayHarness({'s': 2})
    near, far = map(world.replicas.replica, ('s-0', 's-1'))
    far.is_remote = True
    assert world.replicas.choose('s', 0) is near
    near.slowness.observe(10, 0)
    assert world.replicas.choose('s', 0) is far


TERMS = BudgetTerms(ratio=0.2, slack=20, window_s=10)


class BudgetedVm:
    """One VM's budget and its loans."""

    def __init__(self, terms, vm_count):
        self.loans = Loans()
        self.budgets = ExtraBudgets(terms, lambda: vm_count, self.loans)

    def borrow(self, lender, name, at_ms, late_ms=0.0):
        """Ask another VM; the answer may be late, or doubled."""
        loan = lender.budgets.lend(name, at_ms, at_ms + late_ms)
        for _ in range(2 if loan else 0):
            self.loans.accept(id(lender), loan)
        return loan


def spend_all(vm, at_ms):
    return sum(vm.budgets.take('s', at_ms) for _ in range(40))


def check_fleet_budget(primaries, extras):
    for start in extras:
        window = [at for at in extras if start <= at < start + 10_000]
        paid = [at for at in primaries if start - 10_000 <= at < start + 10_000]
        assert len(window) <= 0.2 * len(paid) + 20


@pytest.mark.parametrize('vm_count', [1, 2, 5, 14])
@given(data=st.data())
def test_extra_attempts_of_all_vms_keep_to_the_fleets_budget(vm_count, data):
    """In every window, with every way of lending, lost and late loans."""
    vms = [BudgetedVm(TERMS, vm_count) for _ in range(vm_count)]
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
    for at_ms, vm, other, kind, late_ms in sorted(events):
        if kind == 'borrow' and vm != other:
            vms[vm].borrow(vms[other], vm, at_ms, late_ms)
        else:
            vms[vm].budgets.earn('s', at_ms)
            primaries.append(at_ms)
        if kind == 'fail':
            extras.extend(repeat(at_ms, spend_all(vms[vm], at_ms)))
    check_fleet_budget(primaries, extras)


def test_vm_with_callers_borrows_from_those_without():
    """Load pattern: 141 VMs share 346 extra attempts, few have callers."""
    terms = BudgetTerms(ratio=0.2, slack=346, window_s=10)
    busy, *others = (BudgetedVm(terms, 141) for _ in range(141))
    spent = 0
    for second in range(10):
        at_ms = 60_000.0 + 1000 * second
        busy.budgets.earn('s', at_ms)
        spent += spend_all(busy, at_ms)
        assert busy.loans.is_needed(at_ms)
        for lender in others[4 * second : 4 * second + 4]:
            busy.borrow(lender, 'busy', at_ms)
    assert spent >= 20
    assert not busy.borrow(others[0], 'another', 71_000.0)


def test_loan_ends_by_the_borrowers_clock_and_is_kept_a_window_longer():
    lender, borrower = BudgetedVm(TERMS, 2), BudgetedVm(TERMS, 2)
    borrower.borrow(lender, 'b', 0.0, late_ms=2500.0)
    whole = borrower.budgets.left('s', 7_900.0)
    after = borrower.budgets.left('s', 8_100.0)
    assert whole > after
    assert lender.budgets.left('s', 20_000.0) < after
    assert lender.budgets.left('s', 21_000.0) == after


def test_vm_that_spent_its_part_or_needs_it_lends_nothing():
    lender, borrower = BudgetedVm(TERMS, 1), BudgetedVm(TERMS, 1)
    assert spend_all(lender, 0.0) > 0
    assert borrower.borrow(lender, 'b', 100.0) is None
    assert borrower.borrow(lender, 'b', 12_000.0) is not None


def test_budget_comes_back_with_time_and_with_requests():
    budgets = ExtraBudgets(TERMS, lambda: 1)
    assert sum(budgets.take('s', 0) for _ in range(100)) <= 20
    assert not budgets.take('s', 100)
    assert budgets.take('s', 5000)


def test_connections_of_all_vms_stay_below_what_a_server_accepts():
    for vm_count in range(1, 200):
        share = links_allowed(52, vm_count)
        assert share >= 1
        assert share == 1 or share * vm_count <= 52


def test_throttle_sends_an_overloaded_server_about_what_it_answers():
    """Load pattern: 10 requests a second, of which one in five is in time."""
    throttle, random = Throttle(), Random(2)
    sent = 0
    for step in range(400):
        at_ms = step * 100.0
        if random.random() >= throttle.skip_probability(at_ms):
            sent += 1
            throttle.send(at_ms)
            if sent % 5 == 0:
                throttle.answer(at_ms)
    assert sent < 300


def test_throttle_leaves_a_server_alone_that_answers():
    throttle = Throttle()
    for step in range(100):
        throttle.send(step * 100.0)
        if step % 20:
            throttle.answer(step * 100.0)
        assert not throttle.skip_probability(step * 100.0)


def test_queries_share_overloaded_shards_between_them():
    """Load pattern: four of twenty shards answer nothing; two may lack."""
    shards = tuple('s{0}'.format(number) for number in range(20))
    world = GatewayHarness(dict.fromkeys(shards, 1))
    gather = Gather(shards, 5, 0.89)
    for shard in shards[:4]:
        throttle = world.replicas.of(shard)[0].throttle
        for _ in range(20):
            throttle.send(0)
    skipped = [
        skipped_shards(gather, world.replicas, 0, Random(seed))
        for seed in range(100)
    ]
    assert all(len(each) <= 2 for each in skipped)
    assert sum(map(len, skipped)) > 150
    assert set().union(*skipped) == set(shards[:4])


def test_shards_that_an_answer_can_lack_are_asked_all_the_same():
    shards = tuple('s{0}'.format(number) for number in range(20))
    world = GatewayHarness(dict.fromkeys(shards, 1))
    throttle = world.replicas.of('s0')[0].throttle
    for _ in range(20):
        throttle.send(0)
    gather = Gather(shards, 5, 0.89)
    assert not skipped_shards(gather, world.replicas, 0, Random(1))


def test_query_is_hopeless_only_without_any_sign_of_too_many_shards():
    shards = tuple('s{0}'.format(number) for number in range(10))
    world = GatewayHarness(dict.fromkeys(shards, 2))
    gather = Gather(shards, 5, 0.9)
    for replica in world.replicas:
        if replica.record.service in shards[:2]:
            replica.throttle.send(0)
            replica.throttle.send(100)
    assert not unreachable_shards(gather, world.replicas, 400)
    assert unreachable_shards(gather, world.replicas, 600) == shards[:2]
    world.replicas.of('s0')[0].throttle.hear()
    assert not unreachable_shards(gather, world.replicas, 600)


def test_slow_server_is_avoided_by_vms_that_never_met_it():
    """Load pattern: many VMs, each with too few requests to notice."""
    met, other = GatewayHarness({'s': 2}), GatewayHarness({'s': 2}, seed=2)
    met.replicas.replica('s-0').slowness.observe(10, 0)
    heed_slow(other.replicas, tell_slow(met.replicas, 500), 700)
    assert other.replicas.choose('s', 700).record.server == 's-1'


def test_what_was_only_heard_is_not_told_on_and_own_experience_wins():
    met, other = GatewayHarness({'s': 2}), GatewayHarness({'s': 2})
    met.replicas.replica('s-0').slowness.observe(10, 0)
    told = tell_slow(met.replicas, 100)
    heed_slow(other.replicas, told, 200)
    assert not tell_slow(other.replicas, 200)
    own = other.replicas.replica('s-1').slowness
    own.observe(1, 300)
    heed_slow(other.replicas, [('s-1', 9), ('unknown', 9)], 400)
    assert own.ratio(400) == 1
    assert not tell_slow(met.replicas, 5000)


def test_vm_keeps_to_replicas_that_it_is_connected_to():
    """Load pattern: many VMs, a query each few seconds, three replicas."""
    world = GatewayHarness({'s': 3})
    for server in ('s-0', 's-2'):
        world.pools[server].is_warm = False
    chosen = {world.replicas.choose('s', 0).record.server for _ in range(50)}
    assert chosen == {'s-1'}
    world.replicas.replica('s-1').slowness.observe(5, 0)
    assert world.replicas.choose('s', 0).record.server != 's-1'
