"""The ``log-report`` command."""

from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Final

import typer

from .exit_codes import ExitCode
from .log_report import LogReport, report_on_lines
from .options import AsJson
from .output import complain, show, table
from .timeline import Line, read_lines

__all__ = ('log_report',)

_HEAD: Final = ('event', 'count', 'over time')

_Files = Annotated[
    list[Path],
    typer.Argument(help='Log files of one or more VMs; - for standard input.'),
]


def log_report(files: _Files, as_json: AsJson = False) -> None:
    """Sum up logs: events and reasons, with a plot of each over time.

    Example: dandelionstage log-report front-1.log front-2.log
    """
    lines: list[Line] = []
    for path in files:
        found, faults = read_lines(path)
        lines.extend(found)
        complain(faults)
    if not lines:
        complain(['no log lines'])
        raise typer.Exit(ExitCode.BAD_INPUT)
    whole = report_on_lines(lines)
    show(asdict(whole), _show(whole), as_json=as_json)


def _show(whole: LogReport) -> Iterator[str]:
    yield '{0:.1f} s of logs'.format(whole.seconds)
    yield from table(_HEAD, [_row(whole, kind) for kind in whole.events])
    reasons = [(name, str(whole.reasons[name])) for name in whole.reasons]
    yield from table(('reason', 'count'), reasons)


def _row(whole: LogReport, kind: str) -> tuple[str, str, str]:
    plot = '|{0}|'.format(whole.plots.get(kind, ''))
    return kind, str(whole.events[kind]), plot
