"""Invalid documents, kept for reports."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import final

from ..model.documents import DocumentFault
from ..model.ids import DocumentKey, Revision

__all__ = ('Refusal', 'Refusals')


@final
@dataclass(frozen=True, slots=True)
class Refusal:
    """The latest invalid document of a key."""

    revision: Revision
    faults: tuple[DocumentFault, ...]


@final
class Refusals:
    """The latest invalid document of each key, until a newer valid one."""

    def __init__(self) -> None:
        """Start without refusals."""
        self._refusals: dict[DocumentKey, Refusal] = {}

    def as_mapping(self) -> Mapping[DocumentKey, Refusal]:
        """Return a read-only view from each key to its refusal."""
        return MappingProxyType(self._refusals)

    def contains(self, key: DocumentKey, revision: Revision) -> bool:
        """Return whether this revision was refused and need not be read."""
        refusal = self._refusals.get(key)
        return refusal is not None and refusal.revision == revision

    def add(self, key: DocumentKey, refusal: Refusal) -> None:
        """Add a refusal, replacing an earlier one of the same key."""
        self._refusals[key] = refusal

    def remove_older(self, key: DocumentKey, accepted: Revision) -> None:
        """Remove the refusal of a key if it is older than ``accepted``."""
        refusal = self._refusals.get(key)
        if refusal is not None and refusal.revision < accepted:
            self._refusals.pop(key)
