"""Estimate of how much slower than usual a backend server responds."""

import math
from typing import Final, final

__all__ = ('Slowness',)

#: Weights of the newest observation when it is higher or lower than the
#: estimate.  A higher one weighs more, because the next answer may be late too.
_RISE_WEIGHT: Final = 0.6
_FALL_WEIGHT: Final = 0.4
#: Half-life of the part of the ratio above 1, so that a server that was
#: avoided is tried again.
_HALF_LIFE_MS: Final = 2000.0
#: A first failure counts as the first ratio.  Each consecutive failure doubles
#: it, up to the second one.  With the half-life, a server that keeps failing is
#: tried again after 4 s and then every 12 s.
_FIRST_FAILURE_RATIO: Final = 8.0
_MAX_FAILURE_RATIO: Final = 128.0
#: Failures after which the ratio is at its maximum; counting stops there, as
#: a power of a larger number exceeds the range of a float.
_MAX_COUNTED_FAILURES: Final = 5
#: Upper limit for the ratio of a single reply, as higher values add little
#: information.
_MAX_REPLY_RATIO: Final = 16.0
#: Ratio of a server that responds as fast as usual.
_USUAL: Final = 1.0
#: While this VM's own observation is younger than this, it is reported to
#: other VMs and preferred to their reports.  Received reports are never passed
#: on, so an outdated one cannot circulate.
_OWN_MAX_AGE_MS: Final = 1500.0
#: Lowest ratio that is reported to other VMs.
_MIN_REPORTED_RATIO: Final = 2.5


@final
class Slowness:  # noqa: WPS214 -- many short methods on one estimate
    """Moving ratio of observed to usual response time; 1 means as usual.

    A failure counts as a high ratio, and consecutive failures as higher ones.
    """

    __slots__ = ('_failures', '_observed_ms', '_ratio', '_updated_ms')

    def __init__(self) -> None:
        """Create an estimate at the usual ratio."""
        self._ratio = _USUAL
        self._updated_ms: float = 0
        self._failures = 0
        self._observed_ms = float('-inf')

    @property
    def is_usual(self) -> bool:
        """Whether the stored ratio is not above the usual one."""
        return self._ratio <= _USUAL

    def ratio(self, now_ms: float) -> float:
        """Return the expected ratio for the next answer."""
        if self._ratio <= _USUAL:
            return self._ratio
        half_lives = (now_ms - self._updated_ms) / _HALF_LIFE_MS
        return _USUAL + (self._ratio - _USUAL) * math.exp2(-half_lives)

    def observe(self, ratio: float, now_ms: float) -> None:
        """Record the ratio of an answer's time to the usual time."""
        self._failures = 0
        self._move(min(ratio, _MAX_REPLY_RATIO), now_ms)

    def observe_unfinished(self, ratio: float, now_ms: float) -> None:
        """Record that an unfinished request has exceeded a ratio."""
        if ratio > self.ratio(now_ms):
            self._move(min(ratio, _MAX_REPLY_RATIO), now_ms)

    def observe_failure(self, now_ms: float) -> None:
        """Record a failure; consecutive failures raise the ratio further."""
        penalty = min(
            _MAX_FAILURE_RATIO, _FIRST_FAILURE_RATIO * 2**self._failures
        )
        self._failures = min(self._failures + 1, _MAX_COUNTED_FAILURES)
        self._ratio = max(self.ratio(now_ms), penalty)
        self._updated_ms = now_ms
        self._observed_ms = now_ms

    def ratio_to_report(self, now_ms: float) -> float | None:
        """Return the ratio if it is recent, this VM's own and high enough."""
        if now_ms - self._observed_ms > _OWN_MAX_AGE_MS:
            return None
        ratio = self.ratio(now_ms)
        return ratio if ratio >= _MIN_REPORTED_RATIO else None

    def apply_report(self, ratio: float, now_ms: float) -> None:
        """Raise the ratio to one reported by another VM.

        Has no effect while this VM's own observation is recent.
        """
        if now_ms - self._observed_ms > _OWN_MAX_AGE_MS and ratio > self.ratio(
            now_ms
        ):
            self._ratio = min(ratio, _MAX_REPLY_RATIO)
            self._updated_ms = now_ms

    def _move(self, observed: float, now_ms: float) -> None:
        """Move the ratio towards an observed one."""
        before = self.ratio(now_ms)
        weight = _RISE_WEIGHT if observed > before else _FALL_WEIGHT
        self._ratio = before + weight * (observed - before)
        self._updated_ms = now_ms
        self._observed_ms = now_ms
