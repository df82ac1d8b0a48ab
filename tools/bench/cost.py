"""Processor time per sub-request against a bare scatter."""

import subprocess  # noqa: S404 -- the baseline is a process of its own
import sys
from typing import Final

from tools.fleet.fleet import Fleet
from tools.fleet.scenario import Customer

from .bare_scatter import Load
from .experiments.experiment import at_most
from .experiments.fleets import desk_scenario, stream
from .runs import run_variant
from .tables import Table
from .variants import Variant

__all__ = ('run_cost',)

_CUSTOMER: Final = Customer('vets', ('finder-desk',))
_SERVICE_MS: Final = 10
_RATE_PER_S: Final = 30
_MAX_RATIO: Final = 1.5
_US_PER_S: Final = 1_000_000
_FIRST_REPLICA: Final = '.a'
_SPARE_S: Final = 30


def run_cost(duration_s: float) -> Table:
    """Measure entry and owner together, and the bare scatter beside them."""
    bare_us = _measure_bare(duration_s)
    whole_us = _measure_whole(duration_s)
    return Table(
        experiment='cost',
        columns=('way', 'processor µs per sub-request', 'ratio'),
        rows=(
            ('bare scatter, same transports', '{0:.0f}'.format(bare_us), '1'),
            (
                'daemons, callers’ HTTP included',
                '{0:.0f}'.format(whole_us),
                '{0:.2f}'.format(whole_us / bare_us),
            ),
        ),
        findings=(
            at_most(
                'processor time at most 1.5 times that of a bare scatter',
                whole_us / bare_us,
                _MAX_RATIO,
            ),
        ),
    )


def _measure_bare(duration_s: float) -> float:
    scenario = desk_scenario((_CUSTOMER,), _SERVICE_MS)
    with Fleet(scenario) as fleet:
        load = Load(
            ports={
                place.backend: place.port
                for place in fleet.layout.backends
                if place.backend.endswith(_FIRST_REPLICA)
            },
            rate_per_s=_RATE_PER_S,
            duration_s=duration_s,
            snapshot=scenario.snapshot,
        )
        command = (
            sys.executable,
            '-m',
            'tools.bench.bare_scatter',
            load.model_dump_json(),
        )
        ended = subprocess.run(
            command,
            check=True,
            capture_output=True,
            text=True,
            timeout=duration_s + _SPARE_S,
        )
    return float(ended.stdout)


def _measure_whole(duration_s: float) -> float:
    scenario = desk_scenario((_CUSTOMER,), _SERVICE_MS)
    load = stream(scenario, _CUSTOMER.customer, _RATE_PER_S)
    run = run_variant(Variant('whole', scenario, (load,), duration_s))
    return run.cpu_s * _US_PER_S / run.primaries
