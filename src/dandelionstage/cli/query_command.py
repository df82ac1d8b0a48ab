"""The ``query`` command."""

import json
from typing import Annotated

import typer
from returns.pipeline import is_successful

from .calls import WAIT_MS, Call, send
from .exit_codes import ExitCode
from .options import AsJson, Entries, Key, KeyFile, read_json, read_key
from .output import show
from .refusals import exit_refused
from .replies import QueryReply

__all__ = ('query',)

_Workload = Annotated[str, typer.Argument(help='Which archive to search.')]
_Query = Annotated[str, typer.Argument(help='The query, as JSON.')]
_Deadline = Annotated[
    int | None,
    typer.Option(
        min=1,
        help='No answer is of use after this time; by default the contract'
        ' says.',
    ),
]
_Coverage = Annotated[
    float | None,
    typer.Option(
        min=0,
        max=1,
        help='Refuse an answer that covers a smaller share of the shards.',
    ),
]


def query(  # noqa: WPS211 -- one argument for each option
    workload: _Workload,
    query_json: _Query,
    entry: Entries,
    key: Key = '',
    key_file: KeyFile = None,
    deadline_ms: _Deadline = None,
    minimum_coverage: _Coverage = None,
    as_json: AsJson = False,
) -> None:
    """Search one archive and print the records found.

    The answer comes from one snapshot and says which shards it covers; a
    partial one names the missing shards and ends with exit code 6.

    Example: dandelionstage query finder-desk '{"ring": "SOF 4711"}'
    """
    call = Call(
        path='/v1/query',
        key=read_key(key, key_file),
        body={
            'workload': workload,
            'query': read_json(query_json),
            'deadline_ms': deadline_ms,
            'minimum_coverage': minimum_coverage,
        },
        wait_ms=deadline_ms or WAIT_MS,
        repeatable=True,
    )
    outcome = send(entry, call, QueryReply)
    if not is_successful(outcome):
        exit_refused(outcome.failure(), as_json=as_json)
    answer = outcome.unwrap()
    show(answer, _lines(answer), as_json=as_json)
    if not answer.coverage.complete:
        raise typer.Exit(ExitCode.PARTIAL)


def _lines(answer: QueryReply) -> list[str]:
    coverage = answer.coverage
    lines = [json.dumps(record) for record in answer.records]
    lines.append(
        '{0} records, {1} of {2} shards, snapshot {3} ({4:.0f} s old)'.format(
            len(answer.records),
            coverage.answered,
            coverage.total,
            answer.snapshot,
            answer.snapshot_age_s,
        ),
    )
    if coverage.missing:
        missing = ', '.join(coverage.missing)
        lines.append('partial answer, missing: {0}'.format(missing))
    return lines
