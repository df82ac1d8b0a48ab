"""Pulls missing documents from VMs whose digest differs."""

import random
from dataclasses import dataclass
from itertools import count
from typing import Final, final

from ..model.ids import CallId, Revision, VmId
from ..model.messages import Digest, Pull
from .commands import PullFrom
from .store import DocumentStore

__all__ = ('Pulls',)

#: Shortest time between two pulls from one peer, and between two full pulls.
_PULL_INTERVAL_MS: Final = 250
_FULL_PULL_INTERVAL_MS: Final = 1000

#: Number of peers whose last pull is remembered; when it is reached, all are
#: forgotten.
_MAX_REMEMBERED_PEERS: Final = 1000

#: Call numbers start at a random number below this.
_MAX_FIRST_CALL: Final = 1_000_000_000
_NEVER_MS: Final = float('-inf')


@final
@dataclass(frozen=True, slots=True)
class _Difference:
    """The digests of this VM and of a peer when they were compared."""

    vm: VmId
    own: Digest
    other: Digest


@final
class Pulls:
    """Repairs missed pushes (anti-entropy, Demers and others 1987).

    If a peer has a higher revision, the pull asks only for documents above
    the highest revision held.  Otherwise a full pull lists every revision
    held.  Full pulls are rate-limited.  After one that brought no acceptable
    document, none is sent to the same peer until either side has changed.
    """

    def __init__(
        self,
        store: DocumentStore,
        random_source: random.Random,
    ) -> None:
        """Start without pulls."""
        self._store = store
        self._calls = count(random_source.randrange(_MAX_FIRST_CALL))
        self._pulled_ms: dict[VmId, float] = {}
        self._unsuccessful_pulls: dict[VmId, _Difference] = {}
        self._full_pull_ms = _NEVER_MS
        self._pending: tuple[CallId, _Difference] | None = None

    def compare(
        self,
        vm: VmId,
        digest: Digest,
        now_ms: float,
    ) -> tuple[PullFrom, ...]:
        """Pull from a peer whose digest differs from this VM's."""
        own = self._store.digest()
        difference = _Difference(vm, own, digest)
        if not self._should_pull(difference, now_ms):
            return ()
        if digest.highest_revision > own.highest_revision:
            return (self._pull(vm, now_ms, own.highest_revision),)
        if now_ms - self._full_pull_ms < _FULL_PULL_INTERVAL_MS:
            return ()
        self._full_pull_ms = now_ms
        pull = self.pull_all(vm, now_ms)
        self._pending = (pull.pull.call, difference)
        return (pull,)

    def pull_all(self, vm: VmId, now_ms: float) -> PullFrom:
        """Ask a peer for every document newer than the one held."""
        return self._pull(vm, now_ms, None)

    def record_unsuccessful_pull(self, call: CallId) -> None:
        """Record that the answer to a pull had no acceptable document."""
        if self._pending is not None and self._pending[0] == call:
            difference = self._pending[1]
            self._unsuccessful_pulls[difference.vm] = difference

    def _should_pull(self, difference: _Difference, now_ms: float) -> bool:
        if difference.own.documents_hash == difference.other.documents_hash:
            return False
        if self._unsuccessful_pulls.get(difference.vm) == difference:
            return False
        pulled_ms = self._pulled_ms.get(difference.vm, _NEVER_MS)
        return now_ms - pulled_ms >= _PULL_INTERVAL_MS

    def _pull(
        self,
        vm: VmId,
        now_ms: float,
        above: Revision | None,
    ) -> PullFrom:
        if len(self._pulled_ms) >= _MAX_REMEMBERED_PEERS:
            self._pulled_ms.clear()
            self._unsuccessful_pulls.clear()
        self._pulled_ms[vm] = now_ms
        call = CallId('pull-{0}'.format(next(self._calls)))
        if above is None:
            return PullFrom(vm, Pull(call, dict(self._store.held())))
        return PullFrom(vm, Pull(call, {}, above))
