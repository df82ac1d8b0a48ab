"""One customer asks for ten times the work of its contract."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from tools.fleet.scenario import Customer

from ..outcomes import Summary, summarize
from ..runs import Run
from ..tables import Finding
from ..variants import Variant
from .experiment import Experiment, at_most
from .fleets import desk_scenario, stream

__all__ = ('neighbour',)

_DESK: Final = ('finder-desk',)
_PATIENT: Final = 'finders'
_SERVICE_MS: Final = 10
_SHARDS: Final = 10
_RATE_PER_S: Final = 10
_GREED: Final = 10
#: A tenth is kept back, as random arrivals exceed their mean.
_MODESTY: Final = 0.9
_MAX_RATIO: Final = 1.1
#: The contract counts sub-requests per second; the load lasts long enough
#: for what was saved up before it to matter little.
_WORK_PER_S: Final = _RATE_PER_S * _SHARDS
_BURST_ALLOWANCE: Final = 1.1
_ALONE: Final = 'inside both contracts'
_BOUNDED: Final = 'neighbour at ten times'
_UNBOUNDED: Final = 'neighbour at ten times, no contract'
_NO_LIMIT_MS: Final = float('inf')


def neighbour(duration_s: float) -> Experiment:
    """Compare a bounded neighbour with a modest and an unbounded one."""
    patient = Customer(_PATIENT, _DESK)
    bounded = Customer('ringers', _DESK, work_per_s=_WORK_PER_S)
    greedy = replace(bounded, work_per_s=_WORK_PER_S * _GREED * _GREED)
    return Experiment(
        'neighbour',
        (
            _variant(_ALONE, (patient, bounded), 1, duration_s),
            _variant(_BOUNDED, (patient, bounded), _GREED, duration_s),
            _variant(_UNBOUNDED, (patient, greedy), _GREED, duration_s),
        ),
        _judge,
    )


def _variant(
    name: str,
    customers: tuple[Customer, ...],
    greed: int,
    duration_s: float,
) -> Variant:
    scenario = desk_scenario(customers, _SERVICE_MS, _SHARDS)
    return Variant(
        name,
        scenario,
        (
            stream(scenario, _PATIENT, _RATE_PER_S),
            stream(scenario, 'ringers', _RATE_PER_S * greed * _MODESTY),
        ),
        duration_s,
    )


def _judge(runs: Mapping[str, Run]) -> tuple[Finding, ...]:
    bounded = runs[_BOUNDED]
    served = _of(bounded, 'ringers').useful * _SHARDS
    per_s = served / bounded.variant.duration_s
    return (
        at_most(
            'p99 of the patient customer at most 1.1 times that without',
            _of(bounded, _PATIENT).p99_ms / _of(runs[_ALONE], _PATIENT).p99_ms,
            _MAX_RATIO,
        ),
        at_most(
            'work served to the neighbour per second, contract and burst',
            per_s,
            _WORK_PER_S * _BURST_ALLOWANCE,
        ),
        Finding(
            'for comparison: share of its contract that the neighbour got',
            '{0:.1%}'.format(per_s / _WORK_PER_S),
            met=True,
        ),
    )


def _of(run: Run, customer: str) -> Summary:
    return summarize(
        (each for each in run.outcomes if each.customer == customer),
        _NO_LIMIT_MS,
    )
