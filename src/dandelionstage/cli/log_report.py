"""Sums up what many VMs logged: events, reasons, and their course in time."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final, final

from .timeline import Line

__all__ = ('LogReport', 'report_on_lines', 'sparkline')

_BARS: Final = ' ▁▂▃▄▅▆▇█'
#: Columns of a plot.
_COLUMNS: Final = 60
_KIND: Final = 'event'
_AT: Final = 'at_ms'
#: Events whose line says why, and the field that does.
_REASONS: Final = (
    ('request_refused', 'reason'),
    ('request_failed', 'reason'),
    ('query_failed', 'reason'),
    ('attempt_failed', 'outcome'),
)


@final
@dataclass(frozen=True, slots=True)
class LogReport:
    """What the lines of many VMs say together.

    :ivar events: lines by event, the most frequent first; what was withheld
        is counted.
    :ivar reasons: lines by event and reason.
    :ivar plots: the course of each event over the whole time.
    :ivar seconds: from the first line to the last.
    """

    events: dict[str, int]
    reasons: dict[str, int]
    plots: dict[str, str]
    seconds: float


def report_on_lines(lines: Sequence[Line]) -> LogReport:
    """Sum up log lines."""
    times = sorted(line[_AT] for line in lines) or [0]
    events = _count_events(lines)
    return LogReport(
        events=dict(events.most_common()),
        reasons=dict(_count_reasons(lines).most_common()),
        plots={
            kind: sparkline(_times_of(kind, lines), times[0], times[-1])
            for kind in events
        },
        seconds=(times[-1] - times[0]) / 1000,  # noqa: WPS432 -- ms in a s
    )


def sparkline(times: Iterable[int], first: int, last: int) -> str:
    """Draw how many of the times fall into each part of a span."""
    width = max(1, last - first + 1)
    columns = Counter((each - first) * _COLUMNS // width for each in times)
    most = max(columns.values(), default=1)
    top = len(_BARS) - 1
    heights = [columns[each] * top / most for each in range(_COLUMNS)]
    return ''.join(_BARS[math.ceil(height)] for height in heights)


def _times_of(kind: str, lines: Iterable[Line]) -> list[int]:
    return [line[_AT] for line in lines if line[_KIND] == kind]


def _count_events(lines: Iterable[Line]) -> Counter[str]:
    events: Counter[str] = Counter()
    for line in lines:
        if line[_KIND] == 'lines_withheld':
            events[line['of']] += line['count']
        else:
            events[line[_KIND]] += 1
    return events


def _count_reasons(lines: Iterable[Line]) -> Counter[str]:
    fields = dict(_REASONS)
    return Counter(
        '{0}: {1}'.format(line[_KIND], line.get(fields[line[_KIND]]))
        for line in lines
        if line[_KIND] in fields
    )
