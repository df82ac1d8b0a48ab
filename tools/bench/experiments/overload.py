"""Three times what the backend servers can do, most of it batch."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from dandelionstage.model.contract import Priority
from tools.fleet.scenario import Customer

from ..outcomes import Summary, summarize
from ..runs import Run
from ..tables import Finding
from ..variants import Variant
from .experiment import Experiment, at_least, at_most
from .fleets import desk_scenario, stream

__all__ = ('overload',)

_DESK: Final = ('finder-desk',)
_URGENT: Final = 'vets'
#: Eight slots for each of five shards work on a request for this long, which
#: makes 40 queries a second.
_SERVICE_MS: Final = 100
_SHARDS: Final = 5
_CAPACITY_PER_S: Final = 40
_FULL_FRACTION: Final = 0.9
_OVERLOAD: Final = 3
_URGENT_FRACTION: Final = 0.1
_BATCH_FRACTION: Final = 0.8
_P99_MS: Final = 1000
_PATIENT_MS: Final = 3000
_URGENT_TARGET: Final = 0.99
_USEFUL_TARGET: Final = 0.9
_ATTEMPTS_TARGET: Final = 1.1
_FULL: Final = 'full load'
_ORDERED: Final = 'overload'
_UNORDERED: Final = 'overload, one priority for all'


def overload(duration_s: float) -> Experiment:
    """Compare priorities with their absence, and both with full load."""
    customers = (
        _customer(_URGENT, Priority.URGENT),
        _customer('finders', Priority.INTERACTIVE),
        _customer('ringers', Priority.BATCH),
    )
    ordered = _variant(_ORDERED, customers, _OVERLOAD, duration_s)
    alike = tuple(
        replace(customer, priority=Priority.BATCH) for customer in customers
    )
    return Experiment(
        'overload',
        (
            _variant(_FULL, customers, _FULL_FRACTION, duration_s),
            ordered,
            replace(
                ordered,
                name=_UNORDERED,
                scenario=replace(ordered.scenario, customers=alike),
            ),
        ),
        _judge,
    )


def _customer(name: str, priority: Priority) -> Customer:
    return Customer(
        name,
        _DESK,
        priority,
        p99_ms=_P99_MS,
        deadline_ms=_PATIENT_MS,
        minimum_coverage=1,
    )


def _variant(
    name: str,
    customers: tuple[Customer, ...],
    load: float,
    duration_s: float,
) -> Variant:
    scenario = desk_scenario(customers, _SERVICE_MS, _SHARDS)
    rate_per_s = load * _CAPACITY_PER_S
    others = 1 - _URGENT_FRACTION - _BATCH_FRACTION
    return Variant(
        name,
        scenario,
        (
            stream(scenario, _URGENT, rate_per_s * _URGENT_FRACTION),
            stream(scenario, 'finders', rate_per_s * others),
            stream(scenario, 'ringers', rate_per_s * _BATCH_FRACTION),
        ),
        duration_s,
    )


def _judge(runs: Mapping[str, Run]) -> tuple[Finding, ...]:
    useful = {name: _useful(run).useful for name, run in runs.items()}
    ordered = runs[_ORDERED]
    return (
        at_least(
            'urgent customers get 99% of their answers inside the contract',
            _useful(ordered, _URGENT).useful_fraction,
            _URGENT_TARGET,
        ),
        at_least(
            'useful answers at least 90% of those at full load',
            useful[_ORDERED] / useful[_FULL],
            _USEFUL_TARGET,
        ),
        at_most(
            'backend starts at most 1.1 per sub-request',
            ordered.starts / ordered.primaries,
            _ATTEMPTS_TARGET,
        ),
        Finding(
            'for comparison: urgent answers inside the contract, no priorities',
            '{0:.3g}'.format(
                _useful(runs[_UNORDERED], _URGENT).useful_fraction,
            ),
            met=True,
        ),
    )


def _useful(run: Run, customer: str = '') -> Summary:
    """Sum up the answers; one counts that comes before the deadline."""
    limit_ms = _P99_MS if customer else _PATIENT_MS
    return summarize(
        (
            outcome
            for outcome in run.outcomes
            if not customer or outcome.customer == customer
        ),
        limit_ms,
    )
