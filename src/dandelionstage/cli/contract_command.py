"""The ``contract`` commands."""

from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Final

import typer

from ..limits import derived_limits
from ..limits.fleet_sizes import FleetSizes, measure_fleet
from ..model.documents import DocumentFault
from .contract_changes import changes
from .contract_checks import contradictions
from .documents import read_all, read_contract
from .exit_codes import ExitCode
from .options import AsJson
from .output import show, table

__all__ = ('contract_app',)

_LIMIT_HEAD: Final = ('limit', 'value', 'unit', 'derived from')

contract_app = typer.Typer(
    help='Check, explain and compare contracts before they are published.',
    no_args_is_help=True,
)

_Files = Annotated[
    list[Path],
    typer.Argument(help='Contracts, workloads and lists, YAML or JSON.'),
]
_Documents = Annotated[
    list[Path],
    typer.Argument(
        default_factory=list,
        help='Workloads and VM lists, YAML or JSON.',
    ),
]
_File = Annotated[Path, typer.Argument(help='A contract, YAML or JSON.')]


@contract_app.command('check')
def check(files: _Files, as_json: AsJson = False) -> None:
    """List every fault of the documents, and what cannot hold together.

    Contracts are checked against the workloads given beside them, and
    workloads against the backend lists.

    Example: dandelionstage contract check examples/contract.yaml
    examples/workload.yaml
    """
    documents = read_all(files)
    faults = (*documents.faults, *contradictions(documents.topology))
    body = {'faults': [asdict(fault) for fault in faults]}
    show(body, _fault_lines(faults), as_json=as_json)
    if faults:
        raise typer.Exit(ExitCode.BAD_INPUT)


@contract_app.command('explain')
def explain(
    contract_file: _File,
    documents: _Documents,
    as_json: AsJson = False,
) -> None:
    """Show every limit that follows from a contract, and from what.

    The workloads and VM lists given beside it say how large the fleet is.

    Example: dandelionstage contract explain examples/contract.yaml
    examples/workload.yaml examples/vms.yaml
    """
    contract = read_contract(contract_file)
    sizes = measure_fleet(read_all(documents).topology, contract)
    limits = derived_limits.explain_limits(contract, sizes)
    body = {
        'sizes': asdict(sizes),
        'limits': [asdict(limit) for limit in limits],
    }
    lines = [*table(_LIMIT_HEAD, map(_limit_row, limits)), _size_line(sizes)]
    show(body, lines, as_json=as_json)


@contract_app.command('diff')
def diff(old: _File, new: _File, as_json: AsJson = False) -> None:
    """Show which terms change from one contract to another.

    Example: dandelionstage contract diff published.yaml edited.yaml
    """
    changed = changes(read_contract(old), read_contract(new))
    rows = [(change.term, change.old, change.new) for change in changed]
    lines = table(('term', 'old', 'new'), rows) if rows else ['no change']
    show([asdict(change) for change in changed], lines, as_json=as_json)


def _limit_row(limit: derived_limits.Explanation) -> list[str]:
    shown = format(limit.value, 'g')
    return [limit.limit, shown, limit.unit, limit.derived_from]


def _size_line(sizes: FleetSizes) -> str:
    line = 'for {0} data centres of at least {1} VMs, {2} shards'
    return line.format(sizes.data_centres, sizes.vms, sizes.shards)


def _fault_lines(faults: Sequence[DocumentFault]) -> Iterable[str]:
    if not faults:
        return ['valid']
    return [
        '{0}: {1}: {2}'.format(fault.key, fault.path, fault.problem)
        for fault in faults
    ]
