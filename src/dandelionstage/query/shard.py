"""The attempts at one shard: what is out, ruled out and next."""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar, final

from ..model.ids import BackendId, CallId, DataCentreId, ShardId, VmId
from ..model.messages import SubReply
from ..model.topology import Snapshot
from ..retries.retry_steps import RetryStep
from ..routing.targets import Target

__all__ = ('Attempt', 'ShardProgress', 'Shards')

_Item = TypeVar('_Item')


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """One sub-request that has not been answered yet.

    :ivar probe: sent to a slow place only to see how long it takes.
    """

    call: CallId
    shard: ShardId
    target: Target
    sent_ms: float
    probe: bool = False


@final
class ShardProgress:
    """The attempts at one shard under one pin.

    :ivar due_ms: when the next attempt is due: a hedge while one is out,
        else a retry; infinite when none is planned.
    :ivar open: whether a part may still come.
    :ivar avoid: replicas that refused or failed.
    :ivar busy: data centres whose owner could not take the shard now.
    :ivar gone: those of them that lack the shard in the pinned snapshot.
    :ivar reached: whether a backend server may have had work with it.
    """

    def __init__(
        self,
        shard: ShardId,
        replicas: tuple[BackendId, ...],
    ) -> None:
        """Start with nothing tried."""
        self.shard = shard
        self.replicas = replicas
        self.out: dict[CallId, Attempt] = {}
        self.due_ms = math.inf
        self.attempts = 0
        self.open = True
        self.reached = False
        self.avoid: frozenset[BackendId] = frozenset()
        self.gone: frozenset[BackendId] = frozenset()
        self._shunned: set[VmId] = set()
        self.busy: set[DataCentreId] = set()

    @property
    def all_gone(self) -> bool:
        """Whether no replica holds the shard in the pinned snapshot."""
        return self.gone.issuperset(self.replicas)

    def rule_out(
        self, move: RetryStep, attempt: Attempt, reply: SubReply
    ) -> bool:
        """Remember what not to try again; whether that was news."""
        if move is RetryStep.NEXT_OWNER:
            return self.shun(attempt.target.vm)
        blamed = _blame(attempt, reply)
        if move is RetryStep.GONE:
            before = self.gone
            self.gone = before | blamed
            self.avoid |= blamed
            return before != self.gone
        if move is RetryStep.NEXT_REPLICA and reply.backend:
            known = self.avoid.issuperset(blamed)
            self.avoid |= blamed
            return not known
        return _add(self.busy, attempt.target.owner_key.data_centre)

    def shun(self, vm: VmId) -> bool:
        """Try other owners first from now on; whether that was news."""
        return _add(self._shunned, vm)

    def rank(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Leave out the owners shunned and put busy data centres last."""
        if not self._shunned and not self.busy:
            return targets
        return sorted(
            (target for target in targets if target.vm not in self._shunned),
            key=lambda target: target.owner_key.data_centre in self.busy,
        )

    def first_out(self) -> Attempt:
        """Return the oldest attempt that is out; there must be one."""
        return next(iter(self.out.values()))

    def forgive(self) -> None:
        """Allow everything again but replicas that lack the pin."""
        self._shunned.clear()
        self.busy.clear()
        self.avoid = self.gone


@final
class Shards:
    """The shards of one pinned snapshot.

    :ivar total: how many there are.
    :ivar open: how many may still bring a part.
    :ivar lost: how many will not bring one.
    :ivar pin_gone: whether one was lost because replicas lack the pin.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        """Start with all open."""
        self._shards = {
            shard: ShardProgress(shard, replicas)
            for shard, replicas in snapshot.shards.items()
        }
        self.total = len(self._shards)
        self.open = self.total
        self.lost = 0
        self.pin_gone = False

    def __iter__(self) -> Iterator[ShardProgress]:
        """Go through the shards in the order of the shard map."""
        return iter(self._shards.values())

    def __getitem__(self, shard: ShardId) -> ShardProgress:
        """Return the progress of one shard."""
        return self._shards[shard]

    def close(self, progress: ShardProgress) -> None:
        """Expect nothing more of this shard."""
        progress.open = False
        self.open -= 1

    def lose(self, progress: ShardProgress) -> None:
        """Do without this shard's part."""
        self.close(progress)
        self.lost += 1
        self.pin_gone = self.pin_gone or bool(progress.gone)

    @property
    def reachable_fraction(self) -> float:
        """Return the coverage still possible, 0 to 1."""
        return (self.total - self.lost) / self.total


def _blame(attempt: Attempt, reply: SubReply) -> frozenset[BackendId]:
    if reply.backend is None:
        return frozenset(attempt.target.replicas)
    return frozenset((reply.backend,))


def _add(items: set[_Item], item: _Item) -> bool:
    known = item in items
    items.add(item)
    return not known
