"""Schedules the reads of the configuration service by this VM."""

import random
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from ..model.ids import DocumentKey, Revision
from .commands import Heads, ReadDocument, ReadHeads
from .missing_documents import MissingDocuments
from .read_rate_limit import ReadRateLimit
from .store import DocumentStore

__all__ = ('ReadSchedule', 'ReadingRole')

#: A watch waits this long for a change.  Short, so that a silently lost
#: watch is soon replaced.
_WATCH_MS: Final = 1500

#: Pause after a watch, so that the next one returns several changes.
_WATCH_GAP_MS: Final = 50

#: Pause between two reads of a VM that is starting.
_STARTER_GAP_MS: Final = 1000

#: Delay after the first failed read; doubled after each further one.
_INITIAL_BACKOFF_MS: Final = 200
_MAX_BACKOFF_MS: Final = 1000
#: Maximum number of doublings, so that the doubled delay stays a small number
#: before it is limited to the maximum.
_MAX_DOUBLINGS: Final = 8

#: The VMs of a data centre that are not readers together check the service
#: about once in this time, in case only the readers cannot reach it.
_CHECK_INTERVAL_MS: Final = 3000

#: Range of the random delay before the first read of a starting VM.
_FIRST_READ_JITTER_MS: Final = 300

#: Range of the random factor applied to delays.
_MIN_JITTER_FACTOR: Final = 0.5
_MAX_JITTER_FACTOR: Final = 1.5


@unique
class ReadingRole(Enum):
    """The role in which this VM reads the service."""

    #: Does not hold a complete set of documents yet.
    STARTER = 'starter'
    #: Watches the service for its data centre.
    READER = 'reader'
    #: Relies on the readers and checks the service occasionally.
    CHECKER = 'checker'


@dataclass(slots=True)
class _LastRead:
    """The last read of heads.

    :ivar failures: number of consecutive failed reads, this one included.
    :ivar factor: random factor applied to the delay until the next read.
    """

    ended_ms: float
    failures: int
    factor: float


@final
class ReadSchedule:
    """Reads heads, then the documents that the store lacks.

    The position in the service's history follows the service even if it
    decreases, so that a service restored to an older state is still read.
    The store refuses the older documents.

    :ivar missing: the documents that the store lacks.
    """

    def __init__(
        self,
        store: DocumentStore,
        random_source: random.Random,
    ) -> None:
        """Start without any read."""
        self._random = random_source
        self._rate_limit = ReadRateLimit()
        self.missing = MissingDocuments(store, self._rate_limit)
        # The position in the service's history.
        self._since = Revision(0)
        self._is_reading_heads = False
        self._last_read: _LastRead | None = None
        self._first_due_ms: float | None = None

    def tick(
        self,
        now_ms: float,
        role: ReadingRole,
        live_vms: int,
    ) -> tuple[ReadHeads | ReadDocument, ...]:
        """Return the reads that are due.

        :param live_vms: number of live VMs in the own data centre, this one
            included.
        """
        reads = tuple(map(ReadDocument, self.missing.start_reads(now_ms)))
        due = self._is_due(now_ms, role, live_vms)
        if not due or not self._rate_limit.try_acquire(now_ms):
            return reads
        self._is_reading_heads = True
        wait_ms = _WATCH_MS if role is ReadingRole.READER else 0
        return ReadHeads(self._since, wait_ms), *reads

    def finish_heads(
        self,
        heads: Heads | None,
        now_ms: float,
        role: ReadingRole,
    ) -> None:
        """Handle the result of reading heads, ``None`` if it failed."""
        self._is_reading_heads = False
        failures = 0 if self._last_read is None else self._last_read.failures
        self._last_read = _LastRead(
            ended_ms=now_ms,
            failures=failures + 1 if heads is None else 0,
            factor=self._random.uniform(_MIN_JITTER_FACTOR, _MAX_JITTER_FACTOR),
        )
        if heads is None:
            return
        self._since = heads.revision
        at_once = role is ReadingRole.READER
        for key, revision in heads.heads:
            self.missing.add(key, revision, now_ms, at_once=at_once)

    def finish_document(self, key: DocumentKey, now_ms: float) -> None:
        """Handle the end of a read of a document, successful or not.

        If a document in the heads was given up, the whole history is read
        again.
        """
        if self.missing.finish_read(key, now_ms):
            self._since = Revision(0)

    def _is_due(
        self,
        now_ms: float,
        role: ReadingRole,
        live_vms: int,
    ) -> bool:
        if self._is_reading_heads:
            return False
        if self._last_read is not None:
            return now_ms >= _due_ms(self._last_read, role, live_vms)
        if self._first_due_ms is None:
            jitter_ms = self._random.uniform(0, _FIRST_READ_JITTER_MS)
            self._first_due_ms = now_ms + jitter_ms
        return now_ms >= self._first_due_ms


def _due_ms(last: _LastRead, role: ReadingRole, live_vms: int) -> float:
    if role is ReadingRole.CHECKER:
        return last.ended_ms + _CHECK_INTERVAL_MS * live_vms * last.factor
    if not last.failures:
        gap_ms = (
            _WATCH_GAP_MS if role is ReadingRole.READER else _STARTER_GAP_MS
        )
        return last.ended_ms + gap_ms
    doublings = min(last.failures - 1, _MAX_DOUBLINGS)
    backoff_ms = min(_MAX_BACKOFF_MS, _INITIAL_BACKOFF_MS << doublings)
    return last.ended_ms + backoff_ms * last.factor
