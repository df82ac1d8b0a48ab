"""A daemon is killed or frozen while its peers go on serving."""

import signal
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Final

from tools.fleet.fleet import Fleet
from tools.fleet.scenario import Customer

from ..outcomes import Ending, Outcome, summarize
from ..runs import Run
from ..tables import Finding
from ..variants import Fault, Variant
from .experiment import Experiment, at_most
from .fleets import desk_scenario, stream

__all__ = ('owner_lost',)

_DESK: Final = ('finder-desk',)
_NAME: Final = 'vets'
_LOST_VM: Final = 'plovdiv-a.2'
_SERVICE_MS: Final = 10
_RATE_PER_S: Final = 30
_STRIKE_S: Final = 5
_RECOVERY_S: Final = 2
#: The tail is back when it is within this many times of the one before.
_BACK_RATIO: Final = 1.5
_NO_LIMIT_MS: Final = float('inf')


def owner_lost(duration_s: float) -> Experiment:
    """Compare a kill and a freeze, each with and without hedges."""
    scenario = desk_scenario((Customer(_NAME, _DESK),), _SERVICE_MS)
    killed = Variant(
        'killed',
        scenario,
        (stream(scenario, _NAME, _RATE_PER_S),),
        max(duration_s, _STRIKE_S * 3),
        (Fault(_STRIKE_S, _sender(signal.SIGKILL)),),
    )
    frozen = replace(
        killed,
        name='frozen',
        faults=(Fault(_STRIKE_S, _sender(signal.SIGSTOP)),),
    )
    return Experiment(
        'owner lost',
        (killed, _unhedged(killed), frozen, _unhedged(frozen)),
        _judge,
    )


def _unhedged(variant: Variant) -> Variant:
    thrifty = Customer(_NAME, _DESK, extra_load_fraction=0)
    return replace(
        variant,
        name='{0}, no hedges'.format(variant.name),
        scenario=replace(variant.scenario, customers=(thrifty,)),
    )


def _sender(number: signal.Signals) -> Callable[[Fleet], None]:
    return lambda fleet: fleet.members[_LOST_VM].signal(number)


def _judge(runs: Mapping[str, Run]) -> tuple[Finding, ...]:
    return tuple(
        finding
        for name, run in runs.items()
        if 'no hedges' not in name
        for finding in _judge_run(name, run)
    )


def _judge_run(name: str, run: Run) -> Iterable[Finding]:
    before_ms = _p99_ms(run, 0, _STRIKE_S)
    after_ms = _p99_ms(run, _STRIKE_S + _RECOVERY_S, _NO_LIMIT_MS)
    yield at_most(
        '{0}: p99 from 2 s after the fault within 1.5 of the one before'.format(
            name,
        ),
        after_ms / before_ms,
        _BACK_RATIO,
    )
    yield at_most(
        '{0}: answers whose records do not bear out their coverage'.format(
            name,
        ),
        sum(each.ending is Ending.FALSE for each in run.outcomes),
        0,
    )


def _p99_ms(run: Run, from_s: float, until_s: float) -> float:
    return summarize(_between(run, from_s, until_s), _NO_LIMIT_MS).p99_ms


def _between(run: Run, from_s: float, until_s: float) -> Iterable[Outcome]:
    return (
        outcome for outcome in run.outcomes if from_s <= outcome.at_s < until_s
    )
