"""What an idle daemon costs, by the size of the fleet, with slopes."""

import time
from collections.abc import Sequence
from typing import Final, NamedTuple, final

import numpy as np

from tools.fleet.fleet import Fleet
from tools.fleet.scenarios import bg_south

from .experiments.experiment import at_most
from .tables import Table
from .watching import measure_memory_mib, watch

__all__ = ('run_control',)

_SIZES: Final = (4, 8, 16, 32)
_DATA_CENTRES: Final = 2
_SETTLE_S: Final = 3
_MAX_CPU_PERCENT: Final = 4.1
_MAX_MIB: Final = 256
_COLUMNS: Final = (
    'daemons',
    'idle: % of a core',
    'with a change a second: % of a core',
    'memory MiB',
    'reads/s of the service, all daemons, idle',
    'reads/s with a change a second',
)


@final
class _Size(NamedTuple):
    """Means over all daemons of one fleet."""

    daemons: float
    idle_percent: float
    changing_percent: float
    memory_mib: float
    idle_reads_per_s: float
    changing_reads_per_s: float


def run_control(duration_s: float) -> Table:
    """Measure fleets of several sizes and fit a line to each figure."""
    sizes = [_measure(size, duration_s) for size in _SIZES]
    rows = [tuple('{0:.3g}'.format(each) for each in size) for size in sizes]
    return Table(
        experiment='control',
        columns=_COLUMNS,
        rows=(*rows, _fit(sizes)),
        findings=(
            at_most(
                'processor share of the largest fleet, % of a core',
                sizes[-1].changing_percent,
                _MAX_CPU_PERCENT,
            ),
            at_most(
                'memory of a daemon of the largest fleet, MiB',
                sizes[-1].memory_mib,
                _MAX_MIB,
            ),
        ),
    )


def _measure(size: int, duration_s: float) -> _Size:
    scenario = bg_south(
        data_centres=_DATA_CENTRES,
        vms=size // _DATA_CENTRES,
        shards=2,
        sync_shards=0,
    )
    with Fleet(scenario) as fleet:
        time.sleep(_SETTLE_S)
        idle = watch(fleet, duration_s, changing=False)
        changing = watch(fleet, duration_s, changing=True)
        return _Size(
            daemons=size,
            idle_percent=idle.cpu_percent,
            changing_percent=changing.cpu_percent,
            memory_mib=measure_memory_mib(fleet),
            idle_reads_per_s=idle.reads_per_s,
            changing_reads_per_s=changing.reads_per_s,
        )


def _fit(sizes: Sequence[_Size]) -> tuple[str, ...]:
    """Fit each figure against the number of daemons."""
    daemons = [size.daemons for size in sizes]
    slopes = [
        np.polyfit(daemons, figures, 1)[0]
        for figures in list(zip(*sizes, strict=True))[1:]
    ]
    return (
        'slope per daemon',
        *('{0:+.3g}'.format(slope) for slope in slopes),
    )
