"""Print for a person or for a program."""

import json
from collections.abc import Iterable, Sequence
from typing import Any, Final

import typer
from pydantic import BaseModel

__all__ = ('complain', 'show', 'table')

_INDENT: Final = 2
_GAP: Final = '  '


def show(body: BaseModel | Any, lines: Iterable[str], *, as_json: bool) -> None:
    """Print a result once: as JSON, or as lines of text."""
    if as_json:
        typer.echo(_encode(body))
        return
    for line in lines:
        typer.echo(line)


def complain(lines: Iterable[str]) -> None:
    """Print on the error output."""
    for line in lines:
        typer.echo(line, err=True)


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Lay out rows in columns."""
    whole = [tuple(head), *map(tuple, rows)]
    columns = zip(*whole, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return [_row(cells, widths) for cells in whole]


def _row(cells: Sequence[str], widths: Sequence[int]) -> str:
    return _GAP.join(map(str.ljust, cells, widths)).rstrip()


def _encode(body: BaseModel | Any) -> str:
    if isinstance(body, BaseModel):
        return body.model_dump_json(indent=_INDENT)
    return json.dumps(body, indent=_INDENT, default=str)
