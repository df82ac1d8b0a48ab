"""What a configuration service holds, and how it can misbehave."""

from enum import Enum, unique
from typing import final

from dandelionstage.configuration.commands import Heads
from dandelionstage.model.documents import Document
from dandelionstage.model.ids import DocumentKey, Revision

__all__ = ('ConfigHistory', 'ServiceMode')


@unique
class ServiceMode(Enum):
    """How the service treats its readers; operators always get through."""

    OK = 'ok'
    #: Readers get no answer.
    DOWN = 'down'
    #: Readers see nothing that was published since the mode was set.
    STALE = 'stale'
    #: Readers see an older state, as after a restored backup.
    OLDER = 'older'


@final
class ConfigHistory:
    """Every revision of every document, and the part readers may see.

    :ivar mode: how readers are treated now.
    :ivar revision: of the newest document, whatever readers see.
    """

    def __init__(self) -> None:
        """Hold nothing yet."""
        self.mode = ServiceMode.OK
        self.revision = Revision(0)
        self._visible = Revision(0)
        self._documents: dict[DocumentKey, list[Document]] = {}

    def treat(self, mode: ServiceMode, visible: int | None = None) -> None:
        """Change how readers are treated.

        :param visible: the newest revision that readers see while the
            service is stale or older.
        """
        if mode is ServiceMode.OLDER and visible is None:
            visible = max(0, self.revision - 1)
        self.mode = mode
        self._visible = self.revision if visible is None else Revision(visible)

    def write(self, key: DocumentKey, body_json: bytes) -> Revision:
        """Publish a document, or withdraw it by an empty body."""
        self.revision = Revision(self.revision + 1)
        document = Document(key, self.revision, body_json)
        self._documents.setdefault(key, []).append(document)
        return self.revision

    def heads(self, since: Revision) -> Heads:
        """Give what readers may see changed after a revision."""
        visible = self._visible_revision()
        newest = (self.document(key) for key in self._documents)
        return Heads(
            visible,
            tuple(
                (document.key, document.revision)
                for document in newest
                if document is not None and document.revision > since
            ),
        )

    def document(self, key: DocumentKey) -> Document | None:
        """Give the newest revision of a document that readers may see."""
        visible = self._visible_revision()
        for document in reversed(self._documents.get(key, [])):
            if document.revision <= visible:
                return document
        return None

    def _visible_revision(self) -> Revision:
        if self.mode in {ServiceMode.STALE, ServiceMode.OLDER}:
            return self._visible
        return self.revision
