"""What becomes of a document that is offered, before it is taken."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import final

from returns.result import Failure, Result, Success

from ..model import documents as published
from ..model.documents import DocumentBody, Document, DocumentFault
from ..model.ids import DocumentKey

__all__ = ('Offer', 'OfferOutcome', 'judge_older', 'validate')

_Faults = tuple[DocumentFault, ...]


@unique
class OfferOutcome(Enum):
    """What became of a document that was offered."""

    ACCEPTED = 'accepted'
    STALE = 'stale'
    INVALID = 'invalid'


@final
@dataclass(frozen=True, slots=True)
class Offer:
    """What became of a document and why.

    :ivar faults: every fault of an invalid document, else empty.
    """

    outcome: OfferOutcome
    faults: _Faults = ()


def judge_older(document: Document, current: Document) -> Offer:
    """Judge a document that is not newer than the one in force."""
    if document.revision < current.revision:
        return Offer(OfferOutcome.STALE)
    if document.body_json == current.body_json:
        return Offer(OfferOutcome.STALE)
    problem = 'this revision already has another body'
    fault = DocumentFault(document.key, 'revision', problem)
    return Offer(OfferOutcome.INVALID, (fault,))


def validate(document: Document) -> Result[DocumentBody | None, _Faults]:
    """Parse a document's body, ``None`` for a tombstone."""
    if document.revision < 0:
        return _fail(document.key, 'revision', 'must not be negative')
    if not document.is_tombstone:
        return published.parse(document)
    if published.kind_of(document.key) is None:
        return _fail(document.key, 'key', 'unknown kind of document')
    return Success(None)


def _fail(
    key: DocumentKey,
    path: str,
    problem: str,
) -> Result[DocumentBody | None, _Faults]:
    return Failure((DocumentFault(key, path, problem),))
