"""Retry budgets, backoff, hedge delays and liveness of owners.

Guards against extra load without bound when attempts fail, and against slow
replicas or lost owners that delay queries because no hedge is sent.
"""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionstage.retries.backoff import backoff_ms
from dandelionstage.retries.budget import RetryBudget
from dandelionstage.retries.hedging import HedgeDelays
from dandelionstage.retries.owner_liveness import OwnerLiveness

BUCKET_PRIMARIES = 400


@settings(derandomize=True)
@given(
    st.floats(min_value=0, max_value=1),
    st.lists(st.integers(min_value=-50, max_value=50), max_size=200),
)
def test_budget_never_allows_more_than_its_fraction(fraction, steps):
    budget = RetryBudget(fraction)
    primaries, taken = 0, 0
    for step in steps:
        if step > 0:
            primaries += step
            budget.add_primaries(step)
        else:
            taken += sum(budget.take() for _ in range(-step))
    assert taken <= fraction * (primaries + BUCKET_PRIMARIES) + 1e-6


def test_negative_balance_is_repaid_before_any_retry():
    budget = RetryBudget(0.05)
    budget.charge(30)
    budget.add_primaries(200)
    assert not budget.take()
    budget.add_primaries(40)
    assert budget.take()


def test_negative_balance_is_bounded():
    budget = RetryBudget(0.05)
    # The lowest balance is -20; 421 primaries x 0.05 raise it above 1.
    budget.charge(1_000_000)
    budget.add_primaries(BUCKET_PRIMARIES + 21)
    assert budget.take()


def test_unused_budget_is_limited_to_one_bucket():
    budget = RetryBudget(0.05)
    budget.add_primaries(1_000_000)
    assert sum(budget.take() for _ in range(1000)) == BUCKET_PRIMARIES * 0.05


def test_lowered_fraction_drops_tokens_above_the_limit():
    budget = RetryBudget(0.5)
    budget.update_fraction(0)
    assert not budget.take()


def test_backoff_keeps_the_delay_of_the_server_and_adds_jitter():
    random = Random(1)
    waits = [backoff_ms(3, 40, random) for _ in range(100)]
    assert min(waits) >= 40
    assert max(waits) <= 56
    assert len(set(waits)) == 100


def test_hedge_delay_is_the_tail_quantile_of_the_shard():
    delays = HedgeDelays()
    for elapsed_ms in range(1, 41):
        delays.observe('w', 's', elapsed_ms)
    assert delays.delay_ms('w', 's') == 39


def test_slow_replica_does_not_raise_the_hedge_delay_of_its_shard():
    delays = HedgeDelays()
    for _ in range(200):
        delays.observe('w', 'fast', 5)
        delays.observe('w', 'fast-too', 5)
    for elapsed_ms in (5, 500) * 8:
        delays.observe('w', 'straggling', elapsed_ms)
    assert delays.delay_ms('w', 'straggling') == 10


def test_owner_is_silent_until_it_replies_or_the_maximum_passes():
    liveness = OwnerLiveness()
    liveness.record_request('vm', 0)
    liveness.record_request('vm', 90)
    assert liveness.silent_ms('vm', 101) == 101
    assert liveness.silent_ms('vm', 1001) == 0
    liveness.record_request('vm', 1200)
    assert liveness.silent_ms('vm', 1301) == 101
    liveness.record_reply('vm', 1302)
    assert liveness.silent_ms('vm', 1303) == 0
