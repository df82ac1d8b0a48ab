"""Documents that the service has and this VM lacks."""

from dataclasses import dataclass
from typing import Final, final

from ..model.ids import DocumentKey, Revision
from .read_rate import ReadRate
from .store import DocumentStore

__all__ = ('Wanted',)

#: Documents read from the service at a time.
_MAX_READING: Final = 8

#: A VM that is no reader gives its peers this long to bring a document.
_PATIENCE_MS: Final = 1500

#: After the first read that did not bring a document, then doubled.
_RETRY_MS: Final = 500

#: Reads of one document before it is given up.
_MAX_READS: Final = 4


@dataclass(slots=True)
class _Want:
    revision: Revision
    due_ms: float
    reads: int = 0


@final
class Wanted:
    """Keeps each newer revision heard of until it is held or refused."""

    def __init__(self, store: DocumentStore, rate: ReadRate) -> None:
        """Want nothing yet."""
        self._store = store
        self._rate = rate
        self._wants: dict[DocumentKey, _Want] = {}
        self._reading: set[DocumentKey] = set()

    def pending(self) -> bool:
        """Say whether the store still lacks a document heard of."""
        for key in tuple(self._wants):
            self._drop_if_known(key)
        return bool(self._wants)

    def note(
        self,
        key: DocumentKey,
        revision: Revision,
        now_ms: float,
        *,
        at_once: bool,
    ) -> None:
        """Want a document if the store lacks it.

        :param at_once: do not wait for peers to bring it.
        """
        patience_ms = 0 if at_once else _PATIENCE_MS
        self._wants[key] = _Want(revision, now_ms + patience_ms)
        self._drop_if_known(key)

    def take(self, now_ms: float) -> tuple[DocumentKey, ...]:
        """Give the documents to read now and mark them as being read."""
        if not self.pending():
            return ()
        taken: list[DocumentKey] = []
        for key in self._list_due(now_ms):
            if len(self._reading) >= _MAX_READING:
                break
            if not self._rate.take(now_ms):
                break
            self._reading.add(key)
            taken.append(key)
        return tuple(taken)

    def finish(self, key: DocumentKey, now_ms: float) -> bool:
        """End a read; say whether the document was given up.

        A document that is still lacked is read again some more times.
        """
        self._reading.discard(key)
        want = self._wants.get(key)
        if want is None or self._drop_if_known(key):
            return False
        want.due_ms = now_ms + (_RETRY_MS << want.reads)
        want.reads += 1
        if want.reads < _MAX_READS:
            return False
        self._wants.pop(key)
        return True

    def _list_due(self, now_ms: float) -> list[DocumentKey]:
        return [
            key
            for key, want in self._wants.items()
            if want.due_ms <= now_ms and key not in self._reading
        ]

    def _drop_if_known(self, key: DocumentKey) -> bool:
        revision = self._wants[key].revision
        held = self._store.held().get(key)
        known = held is not None and held >= revision
        if known or self._store.refusals.covers(key, revision):
            self._wants.pop(key)
            return True
        return False
