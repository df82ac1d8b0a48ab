"""Tracks the attempts at each shard of a pinned snapshot."""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar, final

from ..model.ids import BackendId, CallId, DataCentreId, ShardId, VmId
from ..model.messages import SubReply
from ..model.topology import Snapshot
from ..retries.retry_steps import RetryStep
from ..routing.targets import Target

__all__ = ('Attempt', 'ScatterProgress', 'ShardProgress')

_Item = TypeVar('_Item')


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """One sub-request that is in flight.

    :ivar probe: whether it was sent only to measure the answer time of a slow
        data centre.
    """

    call: CallId
    shard: ShardId
    target: Target
    sent_ms: float
    probe: bool = False


@final
class ShardProgress:
    """The attempts at one shard under one pin.

    :ivar in_flight: the unanswered attempts, oldest first.
    :ivar due_ms: when the next attempt is due, infinite if none is
        scheduled.  It is a hedge while an attempt is in flight, else a retry.
    :ivar attempts: number of attempts sent.
    :ivar pending: whether a part may still be merged.
    :ivar needs_budget: whether retries are charged to the retry budget.  This
        is so once an attempt may have cost a backend server work or has
        failed for a reason that is not exempt.
    :ivar excluded_replicas: replicas that refused or failed.
    :ivar replicas_without_pin: the excluded replicas that lack the shard in
        the pinned snapshot.
    :ivar busy_data_centres: data centres where no replica was able to take
        another attempt; targets in them are ranked last.
    """

    def __init__(
        self,
        shard: ShardId,
        replicas: tuple[BackendId, ...],
    ) -> None:
        """Start without any attempt."""
        self.shard = shard
        self.replicas = replicas
        self.in_flight: dict[CallId, Attempt] = {}
        self.due_ms = math.inf
        self.attempts = 0
        self.pending = True
        self.needs_budget = False
        self.excluded_replicas: frozenset[BackendId] = frozenset()
        self.replicas_without_pin: frozenset[BackendId] = frozenset()
        self._excluded_owners: set[VmId] = set()
        self.busy_data_centres: set[DataCentreId] = set()

    @property
    def no_replica_has_pin(self) -> bool:
        """Whether every replica lacks the shard in the pinned snapshot."""
        return self.replicas_without_pin.issuperset(self.replicas)

    def exclude_failed(
        self, step: RetryStep, attempt: Attempt, reply: SubReply
    ) -> bool:
        """Exclude the owner or replica that failed, or mark its data centre.

        :param step: determines whether the owner or the replica is excluded
            or the data centre is marked as busy.
        :returns: whether it was not excluded or marked before.
        """
        if step is RetryStep.NEXT_OWNER:
            return self.exclude_owner(attempt.target.vm)
        failed = _failed_replicas(attempt, reply)
        if step is RetryStep.GONE:
            before = self.replicas_without_pin
            self.replicas_without_pin = before | failed
            self.excluded_replicas |= failed
            return before != self.replicas_without_pin
        if step is RetryStep.NEXT_REPLICA and reply.backend:
            known = self.excluded_replicas.issuperset(failed)
            self.excluded_replicas |= failed
            return not known
        return _add(
            self.busy_data_centres, attempt.target.owner_key.data_centre
        )

    def exclude_owner(self, vm: VmId) -> bool:
        """Exclude an owner.

        :returns: whether it was not excluded before.
        """
        return _add(self._excluded_owners, vm)

    def rank(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Drop excluded owners and move busy data centres to the end."""
        if not self._excluded_owners and not self.busy_data_centres:
            return targets
        return sorted(
            (
                target
                for target in targets
                if target.vm not in self._excluded_owners
            ),
            key=lambda target: (
                target.owner_key.data_centre in self.busy_data_centres
            ),
        )

    def oldest_attempt(self) -> Attempt:
        """Return the oldest attempt in flight; there must be one."""
        return next(iter(self.in_flight.values()))

    def reset_exclusions(self) -> None:
        """Clear all exclusions and marks except replicas that lack the pin."""
        self._excluded_owners.clear()
        self.busy_data_centres.clear()
        self.excluded_replicas = self.replicas_without_pin


@final
class ScatterProgress:
    """The progress of every shard of one pinned snapshot.

    :ivar total: number of shards.
    :ivar pending: number of shards that may still get a part.
    :ivar lost: number of shards that were given up.
    :ivar pin_unavailable: whether a shard was given up and at least one of its
        replicas lacks it in the pinned snapshot.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        """Start with every shard pending."""
        self._shards = {
            shard: ShardProgress(shard, replicas)
            for shard, replicas in snapshot.shards.items()
        }
        self.total = len(self._shards)
        self.pending = self.total
        self.lost = 0
        self.pin_unavailable = False

    def __iter__(self) -> Iterator[ShardProgress]:
        """Iterate over the shards in the order of the shard map."""
        return iter(self._shards.values())

    def __getitem__(self, shard: ShardId) -> ShardProgress:
        """Return the progress of one shard."""
        return self._shards[shard]

    def close(self, progress: ShardProgress) -> None:
        """Expect no further part for this shard."""
        progress.pending = False
        self.pending -= 1

    def mark_lost(self, progress: ShardProgress) -> None:
        """Close a shard that got no part."""
        self.close(progress)
        self.lost += 1
        self.pin_unavailable = self.pin_unavailable or bool(
            progress.replicas_without_pin
        )

    @property
    def reachable_fraction(self) -> float:
        """Return the highest coverage still possible, 0 to 1."""
        return (self.total - self.lost) / self.total


def _failed_replicas(
    attempt: Attempt,
    reply: SubReply,
) -> frozenset[BackendId]:
    """Return the replica named in the reply, all of the target if none is."""
    if reply.backend is None:
        return frozenset(attempt.target.replicas)
    return frozenset((reply.backend,))


def _add(items: set[_Item], item: _Item) -> bool:
    """Add an item to a set and return whether it is new."""
    known = item in items
    items.add(item)
    return not known
