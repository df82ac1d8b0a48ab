"""Tells the data centres where a shard's replicas are slow."""

from dataclasses import dataclass
from typing import Final, final

from ..model.messages import OwnerKey

__all__ = ('AnswerTimes',)

#: Weight of the newest answer time in the moving average, and its weight
#: when the one before it is stale.
_NEWEST_WEIGHT: Final = 0.2
_FRESH_WEIGHT: Final = 0.7
_STALE_MS: Final = 500
#: Slow is this many times the time by which most shards answer.
_SLOW_FACTOR: Final = 1.5
#: How often a slow place is asked again, beside a faster one.
_ASK_AGAIN_MS: Final = 1000


@final
@dataclass(slots=True)
class _Place:
    """What is known of one shard's replicas in one data centre."""

    average_ms: float
    asked_ms: float
    heard_ms: float


@final
class AnswerTimes:
    """A moving average of answer times for each owner key.

    Ranking the places of a shard by it keeps a straggler out of the way
    without a hedge; asking a slow place again beside a faster one notices
    its recovery without making a query wait.
    """

    def __init__(self) -> None:
        """Start with no place known; an unknown one is not slow."""
        self._places: dict[OwnerKey, _Place] = {}
        self._slowest: OwnerKey | None = None

    def observe(
        self,
        key: OwnerKey,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Take in how long an answer took."""
        place = self._places.get(key)
        if place is None:
            place = _Place(elapsed_ms, now_ms, now_ms)
            self._places[key] = place
        stale = now_ms - place.heard_ms > _STALE_MS
        weight = _FRESH_WEIGHT if stale else _NEWEST_WEIGHT
        place.asked_ms = now_ms
        place.heard_ms = now_ms
        place.average_ms += weight * (elapsed_ms - place.average_ms)
        self._note_slowest(key)

    def observe_unfinished(
        self,
        key: OwnerKey,
        waited_ms: float,
        now_ms: float,
    ) -> None:
        """Take in that an answer would have taken longer than this."""
        place = self._places.get(key)
        if place is None or place.average_ms < waited_ms:
            self.observe(key, waited_ms, now_ms)

    def has_slow(self, typical_ms: float) -> bool:
        """Whether any place is slow, told without a look at each."""
        slowest = self._slowest
        return slowest is not None and self.is_slow(slowest, typical_ms)

    def is_slow(self, key: OwnerKey, typical_ms: float) -> bool:
        """Whether a place is much slower than most shards are.

        :param typical_ms: by then most shards of the workload answer.
        """
        place = self._places.get(key)
        return (
            place is not None and place.average_ms > typical_ms * _SLOW_FACTOR
        )

    def claim_probe(self, key: OwnerKey, now_ms: float) -> bool:
        """Whether a slow place is due to be asked again, then note it."""
        place = self._places[key]
        due = now_ms - place.asked_ms >= _ASK_AGAIN_MS
        if due:
            place.asked_ms = now_ms
        return due

    def _note_slowest(self, key: OwnerKey) -> None:
        places = self._places
        if self._slowest is None:
            self._slowest = key
        elif key == self._slowest:
            self._slowest = max(
                places, key=lambda each: places[each].average_ms
            )
        elif places[key].average_ms > places[self._slowest].average_ms:
            self._slowest = key
