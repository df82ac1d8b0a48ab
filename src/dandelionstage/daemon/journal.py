"""The task that logs what happens to the documents of a daemon."""

from typing import Final, final

import anyio
from loguru import logger

from ..configuration.store import DocumentStore
from ..model.ids import DocumentKey, Revision

__all__ = ('Journal',)

_EVERY_S: Final = 0.5


@final
class Journal:
    """Logs each revision once, when it comes into force or is refused."""

    def __init__(self, store: DocumentStore) -> None:
        """Watch a store; ``run`` does the work."""
        self._store = store
        self._held: dict[DocumentKey, Revision] = {}
        self._refused: dict[DocumentKey, Revision] = {}

    async def run(self) -> None:
        """Look at the store now and then until cancelled."""
        while True:
            self.look()
            await anyio.sleep(_EVERY_S)

    def look(self) -> None:
        """Log what has changed since the last look."""
        for key, revision in self._store.held().items():
            if self._held.get(key) != revision:
                self._held[key] = revision
                logger.bind(document=key, revision=revision).info(
                    'document in force',
                )
        for key, refusal in self._store.refusals.as_mapping().items():
            if self._refused.get(key) != refusal.revision:
                self._refused[key] = refusal.revision
                faults = [
                    '{0}: {1}'.format(fault.path, fault.problem)
                    for fault in refusal.faults
                ]
                logger.bind(
                    document=key,
                    revision=refusal.revision,
                    faults=faults,
                ).warning('document refused')
