"""The ``status`` command."""

from collections.abc import Iterator
from typing import Final

import typer

from ..operations.status import Status
from .exit_codes import ExitCode
from .options import AsJson, Operators
from .output import show, table
from .statuses import Statuses, fetch_statuses

__all__ = ('status',)

_HEAD: Final = ('vm', 'data centre', 'state', 'ready', 'live VMs', 'newest')


def status(operator: Operators, as_json: AsJson = False) -> None:
    """Show what each daemon holds and whom it sees.

    Ends with exit code 1 if a daemon does not answer or is not ready.

    Example: dandelionstage status --operator http://10.0.0.1:9400
    """
    statuses = fetch_statuses(operator)
    body = {
        'daemons': {
            url: shown.model_dump(mode='json')
            for url, shown in statuses.reached.items()
        },
        'silent': sorted(statuses.silent),
    }
    show(body, _lines(statuses), as_json=as_json)
    ready = all(shown.ready for shown in statuses.reached.values())
    if statuses.silent or not ready:
        raise typer.Exit(ExitCode.NOT_KEPT)


def _lines(statuses: Statuses) -> Iterator[str]:
    yield from table(_HEAD, map(_row, statuses.reached.values()))
    for operator in sorted(statuses.silent):
        yield 'no answer from {0}'.format(operator)


def _row(shown: Status) -> list[str]:
    live = sum(map(len, shown.live_vms.values()))
    ready = 'yes' if shown.ready else 'no: {0}'.format(shown.detail)
    newest = max(shown.documents.values(), default=0)
    return [
        shown.vm,
        shown.data_centre,
        shown.state,
        ready,
        str(live),
        str(newest),
    ]
