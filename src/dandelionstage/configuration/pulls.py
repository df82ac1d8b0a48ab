"""Documents asked of other VMs, found missing by comparing digests."""

import random
from dataclasses import dataclass
from itertools import count
from typing import Final, final

from ..model.ids import CallId, Revision, VmId
from ..model.messages import Digest, Pull
from .commands import PullFrom
from .store import DocumentStore

__all__ = ('Pulls',)

#: Between two pulls from one peer, and between two that list all held.
_PULL_GAP_MS: Final = 250
_FULL_PULL_GAP_MS: Final = 1000

#: Peers whose last pull is remembered.
_MAX_REMEMBERED: Final = 1000

_FIRST_CALLS: Final = 1_000_000_000
_NEVER_MS: Final = float('-inf')


@final
@dataclass(frozen=True, slots=True)
class _Difference:
    vm: VmId
    own: Digest
    other: Digest


@final
class Pulls:
    """Repairs what pushes missed (anti-entropy, Demers and others 1987).

    A peer that is ahead is asked only for what is above the highest
    revision held.  Where that cannot be all, everything held is listed, at
    a bounded rate, and not again to a peer that had nothing to give while
    neither side has changed.
    """

    def __init__(
        self,
        store: DocumentStore,
        random_source: random.Random,
    ) -> None:
        """Start with nothing asked."""
        self._store = store
        self._calls = count(random_source.randrange(_FIRST_CALLS))
        self._pulled_ms: dict[VmId, float] = {}
        self._fruitless: dict[VmId, _Difference] = {}
        self._full_pull_ms = _NEVER_MS
        self._open: tuple[CallId, _Difference] | None = None

    def compare(
        self,
        vm: VmId,
        digest: Digest,
        now_ms: float,
    ) -> tuple[PullFrom, ...]:
        """Pull from a peer whose digest says that it holds other documents."""
        own = self._store.digest()
        difference = _Difference(vm, own, digest)
        if not self._is_worth_it(difference, now_ms):
            return ()
        if digest.highest_revision > own.highest_revision:
            return (self._pull(vm, now_ms, own.highest_revision),)
        if now_ms - self._full_pull_ms < _FULL_PULL_GAP_MS:
            return ()
        self._full_pull_ms = now_ms
        pull = self.pull_all(vm, now_ms)
        self._open = (pull.pull.call, difference)
        return (pull,)

    def pull_all(self, vm: VmId, now_ms: float) -> PullFrom:
        """Ask a peer for everything newer than what is held."""
        return self._pull(vm, now_ms, None)

    def note_nothing_new(self, call: CallId) -> None:
        """Take note that a pull brought nothing that could be taken."""
        if self._open is not None and self._open[0] == call:
            difference = self._open[1]
            self._fruitless[difference.vm] = difference

    def _is_worth_it(self, difference: _Difference, now_ms: float) -> bool:
        if difference.own.documents_hash == difference.other.documents_hash:
            return False
        if self._fruitless.get(difference.vm) == difference:
            return False
        pulled_ms = self._pulled_ms.get(difference.vm, _NEVER_MS)
        return now_ms - pulled_ms >= _PULL_GAP_MS

    def _pull(
        self,
        vm: VmId,
        now_ms: float,
        above: Revision | None,
    ) -> PullFrom:
        if len(self._pulled_ms) >= _MAX_REMEMBERED:
            self._pulled_ms.clear()
            self._fruitless.clear()
        self._pulled_ms[vm] = now_ms
        call = CallId('pull-{0}'.format(next(self._calls)))
        if above is None:
            return PullFrom(vm, Pull(call, dict(self._store.held())))
        return PullFrom(vm, Pull(call, {}, above))
