"""Figures of a run, and the table they go in."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final, final

from .owner_run import Ended

__all__ = ('Row', 'format_table', 'share', 'took_ms')

_HEAD: Final = ('measured', 'policy', 'baseline', 'ratio')
_WIDTHS: Final = (56, 10, 10, 8)


@final
@dataclass(frozen=True, slots=True)
class Row:
    """One figure by the policy and by its baseline.

    :ivar measured: what, with its unit.
    """

    measured: str
    policy: float
    baseline: float

    def cells(self) -> tuple[str, ...]:
        """Write the figures and their ratio."""
        ratio = '-'
        if self.baseline:
            ratio = '{0:.2f}'.format(self.policy / self.baseline)
        figures = (self.policy, self.baseline)
        return (self.measured, *map('{0:.3g}'.format, figures), ratio)


def took_ms(ended: Iterable[Ended], quantile: float) -> float:
    """Return a quantile of the time that useful answers took."""
    useful = (each for each in ended if each.useful)
    times = sorted(each.took_ms for each in useful)
    rank = int(len(times) * quantile)
    return times[rank] if times else float('nan')


def share(ended: Sequence[Ended]) -> float:
    """Return the share of sub-requests that were answered in time."""
    useful = sum(each.useful for each in ended)
    return useful / max(1, len(ended))


def format_table(rows: Iterable[Row]) -> str:
    """Write all rows below each other."""
    lines = (_HEAD, *(row.cells() for row in rows))
    return '\n'.join(map(_format_line, lines))


def _format_line(cells: Sequence[str]) -> str:
    padded = map(str.ljust, cells, _WIDTHS)
    return '  '.join(padded).rstrip()
