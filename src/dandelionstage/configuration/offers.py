"""Checks of a document offered to the store, and their results."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import final

from returns.result import Failure, Result, Success

from ..model import documents as published_documents
from ..model.documents import DocumentBody, Document, DocumentFault
from ..model.ids import DocumentKey

__all__ = ('OfferOutcome', 'OfferResult', 'reject_not_newer', 'validate')

_Faults = tuple[DocumentFault, ...]


@unique
class OfferOutcome(Enum):
    """The outcome of offering a document to the store."""

    ACCEPTED = 'accepted'
    STALE = 'stale'
    INVALID = 'invalid'


@final
@dataclass(frozen=True, slots=True)
class OfferResult:
    """The outcome of an offer and its reasons.

    :ivar faults: all faults of an invalid document, else empty.
    """

    outcome: OfferOutcome
    faults: _Faults = ()


def reject_not_newer(document: Document, current: Document) -> OfferResult:
    """Return why a document not newer than the current one is refused."""
    if document.revision < current.revision:
        return OfferResult(OfferOutcome.STALE)
    if document.body_json == current.body_json:
        return OfferResult(OfferOutcome.STALE)
    problem = 'the same revision is already in force with another body'
    fault = DocumentFault(document.key, 'revision', problem)
    return OfferResult(OfferOutcome.INVALID, (fault,))


def validate(document: Document) -> Result[DocumentBody | None, _Faults]:
    """Parse the body of a document; the body of a tombstone is ``None``."""
    if document.revision < 0:
        return _fail(document.key, 'revision', 'must not be negative')
    if not document.is_tombstone:
        return published_documents.parse(document)
    if published_documents.kind_of(document.key) is None:
        return _fail(document.key, 'key', 'unknown kind of document')
    return Success(None)


def _fail(
    key: DocumentKey,
    path: str,
    problem: str,
) -> Result[DocumentBody | None, _Faults]:
    return Failure((DocumentFault(key, path, problem),))
