"""The ``report`` command."""

from collections.abc import Iterator, Mapping
from typing import Final

import typer

from .exit_codes import ExitCode
from .options import AsJson, Operators
from .output import show, table
from .report import CustomerReport, FleetReport, report_on
from .statuses import fetch_statuses

__all__ = ('report',)

_HEAD: Final = (
    'customer',
    'contract',
    'answers',
    'p50 ms',
    'p99 ms',
    'promised ms',
    'coverage',
    'complete',
    'extra load',
)
_NONE: Final = '-'


def report(operator: Operators, as_json: AsJson = False) -> None:
    """Say whether the contracts are kept.

    Adds up what the daemons counted since they started: latency quantiles,
    coverage, extra load, and refusals and retries by reason.  Ends with
    exit code 1 if a contract is not kept or a daemon does not answer.

    Example: dandelionstage report --operator http://10.0.0.1:9400
    --operator http://10.0.0.2:9400
    """
    statuses = fetch_statuses(operator)
    whole = report_on(tuple(statuses.reached.values()), statuses.silent)
    show(whole, _lines(whole), as_json=as_json)
    if not whole.kept:
        raise typer.Exit(ExitCode.NOT_KEPT)


def _lines(whole: FleetReport) -> Iterator[str]:
    yield from table(_HEAD, map(_row, whole.customers))
    for customer in whole.customers:
        for breach in customer.breaches:
            yield 'not kept: {0}: {1}'.format(customer.customer, breach)
        name = 'refusals of {0}'.format(customer.customer)
        yield from _count_lines(name, customer.totals.refusals)
    yield from _count_lines('retries', whole.retries)
    for operator in whole.silent:
        yield 'no answer from {0}'.format(operator)


def _row(customer: CustomerReport) -> list[str]:
    totals = customer.totals
    promise = customer.promise
    return [
        customer.customer,
        customer.judgement.value,
        str(totals.answers),
        '{0:.1f}'.format(customer.latency_ms['0.5']),
        '{0:.1f}'.format(customer.latency_ms['0.99']),
        str(promise.p99_ms) if promise else _NONE,
        _share(totals.shards_answered, totals.shards_asked),
        _share(totals.complete, totals.answers),
        _share(totals.extra_load, totals.primaries),
    ]


def _share(part: int, whole: int) -> str:
    return '{0:.1%}'.format(part / whole) if whole else _NONE


def _count_lines(name: str, counts: Mapping[str, int]) -> Iterator[str]:
    if counts:
        shown = ', '.join(map('{0[0]} {0[1]}'.format, counts.items()))
        yield '{0}: {1}'.format(name, shown)
