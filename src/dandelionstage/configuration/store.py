"""The documents in force on one VM; their revisions only increase."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final

import xxhash
from returns.result import Failure, Success

from ..model.documents import DocumentBody, Document, DocumentKind, kind_of
from ..model.ids import DocumentKey, Revision
from ..model.messages import Digest
from .offers import OfferOutcome, OfferResult, reject_not_newer, validate
from .refusals import Refusal, Refusals
from .topology import EMPTY_TOPOLOGY, Topology
from .topology_builder import build_topology

__all__ = ('DocumentStore',)

#: Keeps the lower 63 bits, because hashes are sent as signed 64-bit integers.
_HASH_MASK: Final = 0x7FFFFFFFFFFFFFFF

#: Lower than every valid revision.
_NO_REVISION: Final = Revision(-1)


@final
@dataclass(frozen=True, slots=True)
class _Entry:
    """A document in force and its parsed body, ``None`` for a tombstone."""

    document: Document
    body: DocumentBody | None


@final
class DocumentStore:
    """Holds the newest valid document of each key, including tombstones.

    This class alone ensures that no document reverts: a document is
    replaced only by a higher revision, whatever its source.

    :ivar refusals: invalid documents, kept for reports.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.refusals = Refusals()
        self._entries: dict[DocumentKey, _Entry] = {}
        self._held: dict[DocumentKey, Revision] = {}
        self._digest = Digest(0, Revision(0))
        self._topology = EMPTY_TOPOLOGY
        self._changed: set[DocumentKind] = set()

    @property
    def topology(self) -> Topology:
        """All documents in force; the same object until one changes."""
        if self._changed:
            bodies = (
                (entry.document.revision, entry.body)
                for entry in self._entries.values()
                if entry.body is not None
            )
            self._topology = build_topology(
                bodies,
                self._topology,
                self._changed,
            )
            self._changed = set()
        return self._topology

    def offer(self, document: Document) -> OfferResult:
        """Accept a document if it is newer and valid, else say why not.

        An invalid document changes nothing, and its revision does not count
        as held: the last valid document stays in force, and any later valid
        one replaces it.
        """
        entry = self._entries.get(document.key)
        if entry is not None and document.revision <= entry.document.revision:
            return reject_not_newer(document, entry.document)
        match validate(document):
            case Success(body):
                self._put(_Entry(document, body))
                return OfferResult(OfferOutcome.ACCEPTED)
            case Failure(faults):
                refusal = Refusal(document.revision, faults)
                self.refusals.add(document.key, refusal)
                return OfferResult(OfferOutcome.INVALID, faults)
        raise AssertionError('a result is a success or a failure')

    def held(self) -> Mapping[DocumentKey, Revision]:
        """Return the revision in force of each key, including tombstones.

        The mapping is a live read-only view.
        """
        return MappingProxyType(self._held)

    def newer_than(
        self,
        held: Mapping[DocumentKey, Revision],
        above: Revision = _NO_REVISION,
    ) -> tuple[Document, ...]:
        """Return the documents newer than the given revisions.

        :param held: revision of each key on the other side.
        :param above: only documents above this revision are returned.
        """
        return tuple(
            entry.document
            for key, entry in self._entries.items()
            if entry.document.revision > max(above, held.get(key, above))
        )

    def digest(self) -> Digest:
        """Return the digest of keys and revisions, to compare with a peer's."""
        return self._digest

    def _put(self, entry: _Entry) -> None:
        document = entry.document
        documents_hash = self._digest.documents_hash ^ _hash(document)
        replaced = self._entries.get(document.key)
        if replaced is not None:
            documents_hash ^= _hash(replaced.document)
        highest = max(self._digest.highest_revision, document.revision)
        self._digest = Digest(documents_hash, highest)
        self._entries[document.key] = entry
        self._held[document.key] = document.revision
        kind = kind_of(document.key)
        if kind is not None:
            self._changed.add(kind)
        self.refusals.remove_older(document.key, document.revision)


def _hash(document: Document) -> int:
    text = '{0}@{1}'.format(document.key, document.revision)
    return xxhash.xxh64_intdigest(text.encode()) & _HASH_MASK
