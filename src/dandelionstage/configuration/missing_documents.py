"""Documents that the service has and this VM lacks."""

from dataclasses import dataclass
from typing import Final, final

from ..model.ids import DocumentKey, Revision
from .read_rate_limit import ReadRateLimit
from .store import DocumentStore

__all__ = ('MissingDocuments',)

#: Maximum number of documents read from the service at a time.
_MAX_CONCURRENT_READS: Final = 8

#: A VM that is not a reader waits this long for peers to send a document.
_PEER_TIMEOUT_MS: Final = 1500

#: Delay after the first unsuccessful read; doubled after each further one.
_INITIAL_RETRY_MS: Final = 500

#: Number of unsuccessful reads of one document after which it is given up.
_MAX_READS: Final = 4


@dataclass(slots=True)
class _MissingDocument:
    """A document that the store lacks.

    :ivar revision: the newest revision named by the service.
    :ivar due_ms: time from which the document may be read.
    :ivar reads: number of reads that did not bring the document.
    """

    revision: Revision
    due_ms: float
    reads: int = 0


@final
class MissingDocuments:
    """Tracks newer revisions until the store holds or has refused them."""

    def __init__(self, store: DocumentStore, rate_limit: ReadRateLimit) -> None:
        """Start without missing documents."""
        self._store = store
        self._rate_limit = rate_limit
        self._missing: dict[DocumentKey, _MissingDocument] = {}
        self._reading: set[DocumentKey] = set()

    def has_any(self) -> bool:
        """Return whether the store still lacks a document of the service."""
        for key in tuple(self._missing):
            self._remove_if_resolved(key)
        return bool(self._missing)

    def add(
        self,
        key: DocumentKey,
        revision: Revision,
        now_ms: float,
        *,
        at_once: bool,
    ) -> None:
        """Add a document if the store lacks this revision.

        :param at_once: read it without waiting for peers to send it.
        """
        delay_ms = 0 if at_once else _PEER_TIMEOUT_MS
        self._missing[key] = _MissingDocument(revision, now_ms + delay_ms)
        self._remove_if_resolved(key)

    def start_reads(self, now_ms: float) -> tuple[DocumentKey, ...]:
        """Return the documents to read now and mark them as being read."""
        if not self.has_any():
            return ()
        started: list[DocumentKey] = []
        for key in self._list_due(now_ms):
            if len(self._reading) >= _MAX_CONCURRENT_READS:
                break
            if not self._rate_limit.try_acquire(now_ms):
                break
            self._reading.add(key)
            started.append(key)
        return tuple(started)

    def finish_read(self, key: DocumentKey, now_ms: float) -> bool:
        """End a read; return whether the document is given up.

        A document that is still missing is read again, up to a limit.
        """
        self._reading.discard(key)
        missing = self._missing.get(key)
        if missing is None or self._remove_if_resolved(key):
            return False
        missing.due_ms = now_ms + (_INITIAL_RETRY_MS << missing.reads)
        missing.reads += 1
        if missing.reads < _MAX_READS:
            return False
        self._missing.pop(key)
        return True

    def _list_due(self, now_ms: float) -> list[DocumentKey]:
        return [
            key
            for key, missing in self._missing.items()
            if missing.due_ms <= now_ms and key not in self._reading
        ]

    def _remove_if_resolved(self, key: DocumentKey) -> bool:
        """Remove a document that the store now holds or has refused."""
        revision = self._missing[key].revision
        held = self._store.held().get(key)
        is_held = held is not None and held >= revision
        if is_held or self._store.refusals.contains(key, revision):
            self._missing.pop(key)
            return True
        return False
