"""When this VM reads the configuration service, and what."""

import random
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from ..model.ids import DocumentKey, Revision
from .commands import Heads, ReadDocument, ReadHeads
from .read_rate import ReadRate
from .store import DocumentStore
from .wanted import Wanted

__all__ = ('ReadingRole', 'Watch')

#: A watch waits this long for a change, so that one that goes silent is
#: soon replaced.
_WATCH_MS: Final = 1500

#: Between the end of a watch and the next, to let changes gather.
_GAP_MS: Final = 50

#: Between two looks of a VM that is starting.
_START_GAP_MS: Final = 1000

#: After the first failed read, doubled with each further one.
_FIRST_BACKOFF_MS: Final = 200
_LAST_BACKOFF_MS: Final = 1000
_MAX_DOUBLINGS: Final = 8

#: All VMs of a data centre that are no readers look once in this time, so
#: that a reader cut off from the service alone is made up for.
_CHECK_MS: Final = 3000

#: Starting VMs spread their first read over this time.
_START_SPREAD_MS: Final = 300

#: Times are varied between half and one and a half.
_LEAST_FACTOR: Final = 0.5
_GREATEST_FACTOR: Final = 1.5


@unique
class ReadingRole(Enum):
    """Why this VM reads the service."""

    #: It holds no complete set of documents yet.
    STARTER = 'starter'
    #: It watches on behalf of its data centre.
    READER = 'reader'
    #: It relies on the readers and looks now and then.
    CHECKER = 'checker'


@dataclass(slots=True)
class _LastRead:
    ended_ms: float
    failures: int
    factor: float


@final
class Watch:
    """Reads heads, then the documents that the store lacks.

    The position in the service's history follows the service even when it
    goes back, so that a service restored to an older state is still read;
    that older values change nothing is for the store to see to.
    """

    def __init__(
        self,
        store: DocumentStore,
        random_source: random.Random,
    ) -> None:
        """Start with nothing read."""
        self._random = random_source
        self._rate = ReadRate()
        self.wanted = Wanted(store, self._rate)
        self._since = Revision(0)
        self._waiting = False
        self._last: _LastRead | None = None
        self._first_due_ms: float | None = None

    def tick(
        self,
        now_ms: float,
        role: ReadingRole,
        neighbours: int,
    ) -> tuple[ReadHeads | ReadDocument, ...]:
        """Give the reads that are due.

        :param neighbours: live VMs of the own data centre, this one too.
        """
        reads = tuple(map(ReadDocument, self.wanted.take(now_ms)))
        due = self._is_due(now_ms, role, neighbours)
        if not due or not self._rate.take(now_ms):
            return reads
        self._waiting = True
        wait_ms = _WATCH_MS if role is ReadingRole.READER else 0
        return ReadHeads(self._since, wait_ms), *reads

    def finish_heads(
        self,
        heads: Heads | None,
        now_ms: float,
        role: ReadingRole,
    ) -> None:
        """Take the outcome of reading heads, ``None`` if it failed."""
        self._waiting = False
        failures = 0 if self._last is None else self._last.failures
        self._last = _LastRead(
            ended_ms=now_ms,
            failures=failures + 1 if heads is None else 0,
            factor=self._random.uniform(_LEAST_FACTOR, _GREATEST_FACTOR),
        )
        if heads is None:
            return
        self._since = heads.revision
        at_once = role is ReadingRole.READER
        for key, revision in heads.heads:
            self.wanted.note(key, revision, now_ms, at_once=at_once)

    def finish_document(self, key: DocumentKey, now_ms: float) -> None:
        """Take note that a document's read ended, well or not.

        One that the service names but does not give is asked for anew
        with the whole history.
        """
        if self.wanted.finish(key, now_ms):
            self._since = Revision(0)

    def _is_due(
        self,
        now_ms: float,
        role: ReadingRole,
        neighbours: int,
    ) -> bool:
        if self._waiting:
            return False
        if self._last is not None:
            return now_ms >= _due_ms(self._last, role, neighbours)
        if self._first_due_ms is None:
            spread_ms = self._random.uniform(0, _START_SPREAD_MS)
            self._first_due_ms = now_ms + spread_ms
        return now_ms >= self._first_due_ms


def _due_ms(last: _LastRead, role: ReadingRole, neighbours: int) -> float:
    if role is ReadingRole.CHECKER:
        return last.ended_ms + _CHECK_MS * neighbours * last.factor
    if not last.failures:
        gap_ms = _GAP_MS if role is ReadingRole.READER else _START_GAP_MS
        return last.ended_ms + gap_ms
    doublings = min(last.failures - 1, _MAX_DOUBLINGS)
    backoff_ms = min(_LAST_BACKOFF_MS, _FIRST_BACKOFF_MS << doublings)
    return last.ended_ms + backoff_ms * last.factor
