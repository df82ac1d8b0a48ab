"""Published documents: a key, a revision and a body, or a tombstone."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from types import MappingProxyType
from typing import Final, cast, final

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from .contract import Contract
from .ids import DocumentKey, Revision
from .topology import BackendList, VmList, Workload

__all__ = (
    'DocumentBody',
    'Document',
    'DocumentFault',
    'DocumentKind',
    'kind_of',
    'parse',
)


DocumentBody = Contract | BackendList | VmList | Workload


@unique
class DocumentKind(Enum):
    """What a document holds: the part of its key before the slash."""

    CONTRACT = 'contract'
    WORKLOAD = 'workload'
    BACKENDS = 'backends'
    VMS = 'vms'


@final
@dataclass(frozen=True, slots=True)
class Document:
    """One published document as it travels.

    :ivar key: ``contract/<customer>``, ``workload/<workload>``,
        ``backends/<data centre>`` or ``vms/<data centre>``.
    :ivar revision: of this document; a higher one replaces a lower one.
    :ivar body_json: the body, empty for a tombstone (a withdrawn document).
    """

    key: DocumentKey
    revision: Revision
    body_json: bytes

    @property
    def is_tombstone(self) -> bool:
        """Whether the document was withdrawn."""
        return not self.body_json


@final
@dataclass(frozen=True, slots=True)
class DocumentFault:
    """Why a document was refused.

    :ivar path: where in the document, dotted.
    :ivar problem: what is allowed and what was found.
    """

    key: DocumentKey
    path: str
    problem: str


_Models = Mapping[DocumentKind, type[BaseModel]]

_MODELS: Final[_Models] = MappingProxyType(
    {
        DocumentKind.CONTRACT: Contract,
        DocumentKind.WORKLOAD: Workload,
        DocumentKind.BACKENDS: BackendList,
        DocumentKind.VMS: VmList,
    }
)

_NAME_FIELD: Final = MappingProxyType(
    {
        DocumentKind.CONTRACT: 'customer',
        DocumentKind.WORKLOAD: 'workload',
        DocumentKind.BACKENDS: 'data_centre',
        DocumentKind.VMS: 'data_centre',
    }
)


def kind_of(key: DocumentKey) -> DocumentKind | None:
    """Say what a document of this key holds, ``None`` if unknown."""
    try:
        return DocumentKind(key.partition('/')[0])
    except ValueError:
        return None


def parse(
    document: Document,
) -> Result[DocumentBody, tuple[DocumentFault, ...]]:
    """Validate a document's body, listing every fault at once.

    A tombstone has no body, so it is never parsed.
    """
    kind = kind_of(document.key)
    if kind is None:
        return _fail(document.key, 'key', 'unknown kind of document')
    try:
        body = _MODELS[kind].model_validate_json(document.body_json)
    except ValidationError as error:
        return Failure(_list_faults(document.key, error))
    name = document.key.partition('/')[2]
    if getattr(body, _NAME_FIELD[kind]) != name:
        return _fail(document.key, _NAME_FIELD[kind], 'must equal the key')
    return Success(cast(DocumentBody, body))


def _fail(
    key: DocumentKey,
    path: str,
    problem: str,
) -> Result[DocumentBody, tuple[DocumentFault, ...]]:
    return Failure((DocumentFault(key, path, problem),))


def _list_faults(
    key: DocumentKey,
    error: ValidationError,
) -> tuple[DocumentFault, ...]:
    return tuple(
        DocumentFault(
            key=key,
            path='.'.join(str(step) for step in fault['loc']) or '(document)',
            problem=fault['msg'],
        )
        for fault in error.errors(include_url=False, include_input=False)
    )
