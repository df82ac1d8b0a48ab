"""How much slower than usual a backend server is, as requests meet it."""

import math
from typing import Final, final

__all__ = ('Slowness',)

#: Weight of the newest observation, when it is worse than what was known
#: and when it is better.  Bad news counts more: the next answer is at stake.
_WORSE_WEIGHT: Final = 0.6
_BETTER_WEIGHT: Final = 0.4
#: Time after which half of the excess is forgotten, so that a server that
#: was avoided is tried again.
_HALF_LIFE_MS: Final = 2000.0
#: What a first failure counts as, and what failures in a row grow to.  With
#: the half-life, a server that fails on is tried after 4 s, then each 12 s.
_FAILURE: Final = 8.0
_WORST: Final = 128.0
#: A single reply says little beyond this.
_SLOWEST: Final = 16.0
_USUAL: Final = 1.0
#: Own experience is told to other VMs, and preferred to theirs, while it is
#: this fresh; so nothing heard is told on and no rumour lives for ever.
_FRESH_MS: Final = 1500.0
_TOLD_LEAST: Final = 2.5


@final
class Slowness:  # noqa: WPS214 -- one estimate, short methods
    """A moving ratio of observed to usual time; 1 is as usual.

    Failures count as very slow, more so in a row.
    """

    __slots__ = ('_failures', '_heard_ms', '_own_ms', '_ratio')

    def __init__(self) -> None:
        """Start as usual."""
        self._ratio = _USUAL
        self._heard_ms: float = 0
        self._failures = 0
        self._own_ms = float('-inf')

    @property
    def is_usual(self) -> bool:
        """Whether nothing is known that would make it slower than usual."""
        return self._ratio <= _USUAL

    def ratio(self, now_ms: float) -> float:
        """Estimate how much slower than usual the next answer will be."""
        if self._ratio <= _USUAL:
            return self._ratio
        half_lives = (now_ms - self._heard_ms) / _HALF_LIFE_MS
        return _USUAL + (self._ratio - _USUAL) * math.exp2(-half_lives)

    def observe(self, ratio: float, now_ms: float) -> None:
        """Take in an answer's time over the usual time."""
        self._failures = 0
        self._move(min(ratio, _SLOWEST), now_ms)

    def observe_unfinished(self, ratio: float, now_ms: float) -> None:
        """Take in that an answer would have taken longer than this."""
        if ratio > self.ratio(now_ms):
            self._move(min(ratio, _SLOWEST), now_ms)

    def observe_failure(self, now_ms: float) -> None:
        """Take in a failure, which weighs more after another one."""
        penalty = min(_WORST, _FAILURE * 2**self._failures)
        self._failures += 1
        self._ratio = max(self.ratio(now_ms), penalty)
        self._heard_ms = now_ms
        self._own_ms = now_ms

    def told_ratio(self, now_ms: float) -> float | None:
        """Return what is worth telling other VMs: own fresh experience."""
        if now_ms - self._own_ms > _FRESH_MS:
            return None
        ratio = self.ratio(now_ms)
        return ratio if ratio >= _TOLD_LEAST else None

    def heed(self, ratio: float, now_ms: float) -> None:
        """Take in what another VM experienced, unless this one knows."""
        if now_ms - self._own_ms > _FRESH_MS and ratio > self.ratio(now_ms):
            self._ratio = min(ratio, _SLOWEST)
            self._heard_ms = now_ms

    def _move(self, observed: float, now_ms: float) -> None:
        before = self.ratio(now_ms)
        weight = _WORSE_WEIGHT if observed > before else _BETTER_WEIGHT
        self._ratio = before + weight * (observed - before)
        self._heard_ms = now_ms
        self._own_ms = now_ms
