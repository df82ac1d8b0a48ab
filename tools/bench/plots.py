"""Plots of latency over time, one line for each variant."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

import matplotlib as mpl

from .outcomes import Ending, Outcome, summarize

__all__ = ('plot_latency',)

mpl.use('Agg')

_NO_LIMIT_MS: Final = float('inf')
_WIDTH_INCHES: Final = 8
_HEIGHT_INCHES: Final = 4
_DOTS_PER_INCH: Final = 100


def plot_latency(
    title: str,
    runs: Mapping[str, Sequence[Outcome]],
    path: Path,
    window_s: float = 1,
) -> None:
    """Draw each run's 99th percentile over time, a point for each window."""
    from matplotlib import pyplot  # noqa: PLC0415, WPS433 -- after the backend

    path.parent.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES))
    for name, outcomes in runs.items():
        axes.plot(*_points(outcomes, window_s), marker='.', label=name)
    axes.set(
        title=title,
        xlabel='time since the start (s)',
        ylabel='99th percentile (ms)',
        yscale='log',
    )
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=_DOTS_PER_INCH)
    pyplot.close(figure)


def _points(
    outcomes: Sequence[Outcome],
    window_s: float,
) -> tuple[list[float], list[float]]:
    windows: dict[int, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.ending in {Ending.WHOLE, Ending.PARTIAL}:
            windows[int(outcome.at_s // window_s)].append(outcome)
    times = sorted(windows)
    return (
        [time * window_s for time in times],
        [summarize(windows[time], _NO_LIMIT_MS).p99_ms for time in times],
    )
