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
    """Kind of a document, the part of its key before the slash."""

    CONTRACT = 'contract'
    WORKLOAD = 'workload'
    BACKENDS = 'backends'
    VMS = 'vms'


@final
@dataclass(frozen=True, slots=True)
class Document:
    """One published document with its encoded body.

    :ivar key: ``contract/<customer>``, ``workload/<workload>``,
        ``backends/<data centre>`` or ``vms/<data centre>``.
    :ivar revision: revision of this document; a higher one replaces a lower
        one.
    :ivar body_json: body as JSON, empty for a tombstone (a withdrawn
        document).
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
    """Reason why a document was rejected.

    :ivar key: key of the document.
    :ivar path: path of the faulty field, its steps separated by dots.
    :ivar problem: value allowed and value found.
    """

    key: DocumentKey
    path: str
    problem: str


_ModelsByKind = Mapping[DocumentKind, type[BaseModel]]

_MODELS: Final[_ModelsByKind] = MappingProxyType(
    {
        DocumentKind.CONTRACT: Contract,
        DocumentKind.WORKLOAD: Workload,
        DocumentKind.BACKENDS: BackendList,
        DocumentKind.VMS: VmList,
    }
)

#: Field of the body that must equal the part of the key after the slash.
_NAME_FIELD: Final = MappingProxyType(
    {
        DocumentKind.CONTRACT: 'customer',
        DocumentKind.WORKLOAD: 'workload',
        DocumentKind.BACKENDS: 'data_centre',
        DocumentKind.VMS: 'data_centre',
    }
)


def kind_of(key: DocumentKey) -> DocumentKind | None:
    """Return the kind of a document with this key, ``None`` if unknown."""
    try:
        return DocumentKind(key.partition('/')[0])
    except ValueError:
        return None


def parse(
    document: Document,
) -> Result[DocumentBody, tuple[DocumentFault, ...]]:
    """Parse and validate a document's body; return all its faults at once.

    Must not be called for a tombstone, which has no body.
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
        return _fail(
            document.key,
            _NAME_FIELD[kind],
            'must equal the part of the key after the slash',
        )
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
