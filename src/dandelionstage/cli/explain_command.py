"""The ``explain`` command: one request over the logs of many VMs."""

from pathlib import Path
from typing import Annotated

import typer

from .exit_codes import ExitCode
from .options import AsJson
from .output import complain, show
from .timeline import Line, lines_about, read_lines, say

__all__ = ('explain',)

_Request = Annotated[str, typer.Argument(help="The request's id.")]
_Files = Annotated[
    list[Path],
    typer.Argument(help='Log files of one or more VMs; - for standard input.'),
]


def explain(request: _Request, files: _Files, as_json: AsJson = False) -> None:
    """Show what was decided about one request, and what stood around it.

    Besides the lines that name the request, the changes are shown that the
    same VM made to what it believed shortly before, such as a new
    configuration, a server that drains or a store that was lost.

    Example: dandelionstage explain 9c41d07be2a35f68 front-1.log front-2.log
    """
    lines: list[Line] = []
    for path in files:
        found, faults = read_lines(path)
        lines.extend(found)
        complain(faults)
    about = lines_about(request, lines)
    show(about, map(say, about), as_json=as_json)
    if not about:
        complain(['no line names the request {0}'.format(request)])
        raise typer.Exit(ExitCode.BAD_INPUT)
