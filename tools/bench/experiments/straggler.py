"""One replica is ten times slower than the others."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from tools.fleet.fleet import Fleet
from tools.fleet.scenario import Customer

from ..outcomes import summarize
from ..runs import Run
from ..tables import Finding
from ..variants import Fault, Variant
from .experiment import Experiment, at_most
from .fleets import desk_scenario, stream

__all__ = ('straggler',)

_SLOW_FACTOR: Final = 10
_SERVICE_MS: Final = 10
_RATE_PER_S: Final = 30
_MAX_RATIO: Final = 1.3
_MAX_EXTRA: Final = 0.05
_NAME: Final = 'vets'
_SLOW_SERVER: Final = 'finder-desk-03.a'
_HEALTHY: Final = 'no fault'
_HEDGED: Final = 'straggler'
_UNHEDGED: Final = 'straggler, no hedges'


def straggler(duration_s: float) -> Experiment:
    """Compare hedging with its absence, and both with no fault."""
    hedged = Variant(
        _HEDGED,
        desk_scenario((Customer(_NAME, ('finder-desk',)),), _SERVICE_MS),
        (),
        duration_s,
        (Fault(0, _slow_down),),
    )
    hedged = replace(
        hedged,
        streams=(stream(hedged.scenario, _NAME, _RATE_PER_S),),
    )
    thrifty = Customer(_NAME, ('finder-desk',), extra_load_fraction=0)
    return Experiment(
        'straggler',
        (
            replace(hedged, name=_HEALTHY, faults=()),
            hedged,
            replace(
                hedged,
                name=_UNHEDGED,
                scenario=replace(hedged.scenario, customers=(thrifty,)),
            ),
        ),
        _judge,
    )


def _slow_down(fleet: Fleet) -> None:
    with fleet.backend(_SLOW_SERVER) as control:
        control.set_faults(slow_factor=_SLOW_FACTOR)


def _judge(runs: Mapping[str, Run]) -> tuple[Finding, ...]:
    p99_ms = {name: _p99_ms(run) for name, run in runs.items()}
    return (
        at_most(
            'p99 with the straggler at most 1.3 times that without',
            p99_ms[_HEDGED] / p99_ms[_HEALTHY],
            _MAX_RATIO,
        ),
        at_most(
            'extra load at most 5% of primary sub-requests',
            runs[_HEDGED].extra_load_fraction,
            _MAX_EXTRA,
        ),
    )


def _p99_ms(run: Run) -> float:
    return summarize(run.outcomes, float('inf')).p99_ms
