"""Read documents from files before they are published."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain
from pathlib import Path
from typing import Any, Final, final

import typer
import yaml
from returns.pipeline import is_successful
from returns.result import Failure, Result

from ..configuration.topology import EMPTY_TOPOLOGY, Topology
from ..configuration.topology_builder import build_topology
from ..model import documents as published
from ..model.contract import Contract
from ..model.ids import DocumentKey, Revision
from ..settings.yaml_loader import UniqueKeyLoader

__all__ = ('DocumentFaults', 'Documents', 'read_all', 'read_contract')

DocumentFaults = tuple[published.DocumentFault, ...]

#: The field that tells a document's kind, and the one that names it.
_KINDS: Final = (
    ('backends', 'data_centre'),
    ('vms', 'data_centre'),
    ('workload', 'workload'),
)


@final
@dataclass(frozen=True, slots=True)
class Documents:
    """What a set of files holds.

    :ivar topology: the valid documents, joined.
    :ivar faults: of the others.
    """

    topology: Topology
    faults: DocumentFaults


def read_all(files: Iterable[Path]) -> Documents:
    """Read and validate documents, YAML or JSON."""
    outcomes = [_read(path) for path in files]
    bodies = [
        (Revision(number), outcome.unwrap())
        for number, outcome in enumerate(outcomes)
        if is_successful(outcome)
    ]
    faults = [outcome.swap().value_or(()) for outcome in outcomes]
    return Documents(
        topology=build_topology(
            bodies,
            EMPTY_TOPOLOGY,
            tuple(published.DocumentKind),
        ),
        faults=tuple(chain.from_iterable(faults)),
    )


def read_contract(path: Path) -> Contract:
    """Read a file that must hold a valid contract.

    :raises typer.BadParameter: naming every fault.
    """
    documents = read_all((path,))
    contracts = tuple(documents.topology.contracts.values())
    if contracts:
        return contracts[0]
    problems = [
        '{0}: {1}'.format(fault.path, fault.problem)
        for fault in documents.faults
    ]
    problem = '; '.join(problems) or 'not a contract'
    raise typer.BadParameter('{0}: {1}'.format(path, problem))


def _read(path: Path) -> Result[published.DocumentBody, DocumentFaults]:
    try:
        raw = yaml.load(path.read_bytes(), Loader=UniqueKeyLoader)
    except OSError as error:
        return _unreadable(path, error.strerror or 'not readable')
    except (yaml.YAMLError, ValueError, TypeError) as error:
        return _unreadable(path, 'not YAML or JSON: {0}'.format(error))
    if not isinstance(raw, dict):
        return _unreadable(path, 'must be a mapping')
    encoded = json.dumps(raw, default=str).encode()
    return published.parse(
        published.Document(_key_of(raw), Revision(0), encoded)
    )


def _key_of(raw: dict[Any, Any]) -> DocumentKey:
    for kind, name_field in _KINDS:
        if kind in raw:
            return DocumentKey('{0}/{1}'.format(kind, raw.get(name_field)))
    return DocumentKey('contract/{0}'.format(raw.get('customer')))


def _unreadable(
    path: Path, problem: str
) -> Result[published.DocumentBody, DocumentFaults]:
    fault = published.DocumentFault(DocumentKey(str(path)), '(file)', problem)
    return Failure((fault,))
