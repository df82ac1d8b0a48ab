"""Show a refusal and end the command with its exit code."""

from typing import Never

import typer

from ..model.verdict import Run
from .calls import NOBODY
from .exit_codes import ExitCode
from .output import complain, show
from .replies import Problem

__all__ = ('exit_refused',)


def exit_refused(problem: Problem, *, as_json: bool) -> Never:
    """Show a refusal and end the command."""
    if as_json:
        show(problem, (), as_json=True)
    else:
        complain(_lines(problem))
    raise typer.Exit(_exit_code(problem))


def _exit_code(problem: Problem) -> ExitCode:
    if problem is NOBODY:
        return ExitCode.UNREACHABLE
    if problem.run is Run.NOT_RUN:
        return ExitCode.NOT_RUN
    return ExitCode.MAY_HAVE_RUN


def _lines(problem: Problem) -> list[str]:
    lines = [
        'refused: {0} ({1})'.format(problem.reason, problem.run.value),
    ]
    if problem.detail:
        lines.append(problem.detail)
    if problem.retry_after_ms:
        lines.append('retry after {0} ms'.format(problem.retry_after_ms))
    if problem.request_id:
        lines.append('request {0}'.format(problem.request_id))
    return lines
