"""What the task that keeps the documents is told."""

from dataclasses import dataclass
from typing import final

from ..configuration.commands import Heads
from ..model.documents import Document
from ..model.ids import DocumentKey, VmId
from ..model.messages import Digest, Documents, Pull

__all__ = (
    'ConfigurationEvent',
    'DigestHeard',
    'DocumentRead',
    'DocumentsReceived',
    'HeadsRead',
    'PullReceived',
)


@final
@dataclass(frozen=True, slots=True)
class DigestHeard:
    """A peer's probe said what it holds."""

    vm: VmId
    digest: Digest


@final
@dataclass(frozen=True, slots=True)
class PullReceived:
    """A peer asks for documents."""

    vm: VmId
    pull: Pull


@final
@dataclass(frozen=True, slots=True)
class DocumentsReceived:
    """A peer sent documents."""

    vm: VmId
    documents: Documents


@final
@dataclass(frozen=True, slots=True)
class HeadsRead:
    """The service said what has changed, ``None`` if it did not answer."""

    heads: Heads | None


@final
@dataclass(frozen=True, slots=True)
class DocumentRead:
    """The service gave a document, ``None`` if it did not."""

    key: DocumentKey
    document: Document | None


ConfigurationEvent = (
    DigestHeard | PullReceived | DocumentsReceived | HeadsRead | DocumentRead
)
