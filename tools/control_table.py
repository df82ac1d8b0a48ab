"""A table of what control costs at several sizes, with fitted slopes."""

import math
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass

__all__ = ('ControlCost', 'show_table')


@dataclass(frozen=True)
class ControlCost:
    """What one size of fleet costs.

    :ivar idle_bytes_per_s: of one VM, sent and received.
    :ivar busy_bytes_per_s: the same while documents change.
    :ivar idle_reads_per_s: of the service, by the whole fleet.
    :ivar mean_reach_ms: until a change is held by every VM.
    """

    vms: int
    idle_bytes_per_s: float
    busy_bytes_per_s: float
    idle_reads_per_s: float
    busy_reads_per_s: float
    mean_reach_ms: float
    longest_reach_ms: float


def _fit(costs: Sequence[ControlCost], field: str) -> float:
    """Fit a straight line over the logarithm of the size, least squares."""
    sizes = [math.log2(cost.vms) for cost in costs]
    figures = [float(getattr(cost, field)) for cost in costs]
    return statistics.linear_regression(sizes, figures).slope


def show_table(costs: Sequence[ControlCost]) -> str:
    """Show one line for each size and the slopes per doubling."""
    fields = tuple(asdict(costs[0]))
    lines = [_show_row(fields), *map(_show_cost, costs)]
    if len(costs) > 1:
        slopes = [_fit(costs, field) for field in fields[1:]]
        shown = map('{0:.2f}'.format, slopes)
        lines.append(_show_row(('per doubling', *shown)))
    return '\n'.join(lines)


def _show_cost(cost: ControlCost) -> str:
    return _show_row(map('{0:.1f}'.format, asdict(cost).values()))


def _show_row(cells: Iterable[str]) -> str:
    return '  '.join('{0:>18}'.format(cell) for cell in cells)
