"""Invalid documents, kept to be reported."""

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
    """The latest document of a key that was invalid."""

    revision: Revision
    faults: tuple[DocumentFault, ...]


@final
class Refusals:
    """The latest invalid document of each key, until a newer one is taken."""

    def __init__(self) -> None:
        """Hold nothing yet."""
        self._refusals: dict[DocumentKey, Refusal] = {}

    def as_mapping(self) -> Mapping[DocumentKey, Refusal]:
        """Map each key to its refusal, to report them."""
        return MappingProxyType(self._refusals)

    def covers(self, key: DocumentKey, revision: Revision) -> bool:
        """Say whether just this revision was refused, so not worth a read."""
        refusal = self._refusals.get(key)
        return refusal is not None and refusal.revision == revision

    def note(self, key: DocumentKey, refusal: Refusal) -> None:
        """Keep a refusal in place of an earlier one of the same key."""
        self._refusals[key] = refusal

    def clear(self, key: DocumentKey, accepted: Revision) -> None:
        """Forget a refusal that an accepted revision made obsolete."""
        refusal = self._refusals.get(key)
        if refusal is not None and refusal.revision < accepted:
            self._refusals.pop(key)
