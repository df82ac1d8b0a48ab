"""Finds the data centres in which a shard's replicas are slow."""

from dataclasses import dataclass
from typing import Final, final

from ..model.messages import OwnerKey

__all__ = ('AnswerTimes',)

#: Weight of the newest answer time in the moving average.
_NEWEST_WEIGHT: Final = 0.2
#: Weight of the newest answer time if the one before it is stale.
_AFTER_STALE_WEIGHT: Final = 0.7
#: Age above which an answer time is stale.
_STALE_MS: Final = 500
#: Replicas are slow above this multiple of the typical time of a shard.
_SLOW_FACTOR: Final = 1.5
#: Interval of probes of slow replicas, sent beside a request to faster ones.
_PROBE_INTERVAL_MS: Final = 1000


@final
@dataclass(slots=True)
class _KeyTimes:
    """Answer times of one shard's replicas in one data centre.

    :ivar average_ms: moving average of the answer times.
    :ivar requested_ms: time of the last probe or recorded answer time.
    :ivar answered_ms: time of the last recorded answer time.
    """

    average_ms: float
    requested_ms: float
    answered_ms: float


@final
class AnswerTimes:
    """Keeps a moving average of the answer times of each owner key.

    Requests to a shard can thus avoid its slow owner keys without a hedge. A
    probe of slow replicas, sent beside a request to faster ones, detects their
    recovery without a delay of the query.
    """

    def __init__(self) -> None:
        """Create an empty record; unknown owner keys are not slow."""
        self._times_by_key: dict[OwnerKey, _KeyTimes] = {}
        self._slowest: OwnerKey | None = None

    def observe(
        self,
        key: OwnerKey,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Record how long an answer took."""
        known = self._times_by_key.get(key)
        if known is None:
            known = _KeyTimes(elapsed_ms, now_ms, now_ms)
            self._times_by_key[key] = known
        stale = now_ms - known.answered_ms > _STALE_MS
        weight = _AFTER_STALE_WEIGHT if stale else _NEWEST_WEIGHT
        known.requested_ms = now_ms
        known.answered_ms = now_ms
        known.average_ms += weight * (elapsed_ms - known.average_ms)
        self._update_slowest(key)

    def observe_unfinished(
        self,
        key: OwnerKey,
        waited_ms: float,
        now_ms: float,
    ) -> None:
        """Record that an answer did not come within ``waited_ms``.

        A wait shorter than the average does not count, because the answer
        may still be slow.
        """
        known = self._times_by_key.get(key)
        if known is None or known.average_ms < waited_ms:
            self.observe(key, waited_ms, now_ms)

    def has_slow(self, typical_ms: float) -> bool:
        """Whether any owner key is slow; checks only the slowest one."""
        slowest = self._slowest
        return slowest is not None and self.is_slow(slowest, typical_ms)

    def is_slow(self, key: OwnerKey, typical_ms: float) -> bool:
        """Whether a key's replicas are much slower than most shards.

        :param typical_ms: time by which most shards of the workload answer.
        """
        known = self._times_by_key.get(key)
        return (
            known is not None and known.average_ms > typical_ms * _SLOW_FACTOR
        )

    def claim_probe(self, key: OwnerKey, now_ms: float) -> bool:
        """Whether a probe is due; if so, record it as sent."""
        known = self._times_by_key[key]
        due = now_ms - known.requested_ms >= _PROBE_INTERVAL_MS
        if due:
            known.requested_ms = now_ms
        return due

    def _update_slowest(self, key: OwnerKey) -> None:
        times = self._times_by_key
        if self._slowest is None:
            self._slowest = key
        elif key == self._slowest:
            self._slowest = max(
                times, key=lambda other: times[other].average_ms
            )
        elif times[key].average_ms > times[self._slowest].average_ms:
            self._slowest = key
