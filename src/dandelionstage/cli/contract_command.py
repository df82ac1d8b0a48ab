"""The ``contract`` commands."""

from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer

from ..model.documents import DocumentFault
from .contract_changes import changes
from .contract_checks import contradictions
from .documents import read_all, read_contract
from .exit_codes import ExitCode
from .options import AsJson
from .output import show, table

__all__ = ('contract_app',)

contract_app = typer.Typer(
    help='Check, explain and compare contracts before they are published.',
    no_args_is_help=True,
)

_Files = Annotated[
    list[Path],
    typer.Argument(help='Contracts, workloads and lists, YAML or JSON.'),
]
_File = Annotated[Path, typer.Argument(help='A contract, YAML or JSON.')]


@contract_app.command('check')
def check(files: _Files, as_json: AsJson = False) -> None:
    """List every fault of the documents, and what contradicts itself.

    Contracts are checked against the workloads given beside them.

    Example: dandelionstage contract check examples/contract.yaml
    examples/workload.yaml
    """
    documents = read_all(files)
    faults = list(documents.faults)
    for contract in documents.contracts:
        faults.extend(contradictions(contract, documents.workloads))
    body = {'faults': [asdict(fault) for fault in faults]}
    show(body, _fault_lines(faults), as_json=as_json)
    if faults:
        raise typer.Exit(ExitCode.BAD_INPUT)


@contract_app.command('diff')
def diff(old: _File, new: _File, as_json: AsJson = False) -> None:
    """Show which terms change from one contract to another.

    Example: dandelionstage contract diff published.yaml edited.yaml
    """
    changed = changes(read_contract(old), read_contract(new))
    rows = [(change.term, change.old, change.new) for change in changed]
    lines = table(('term', 'old', 'new'), rows) if rows else ['no change']
    show([asdict(change) for change in changed], lines, as_json=as_json)


def _fault_lines(faults: Sequence[DocumentFault]) -> Iterable[str]:
    if not faults:
        return ['valid']
    return [
        '{0}: {1}: {2}'.format(fault.key, fault.path, fault.problem)
        for fault in faults
    ]
