"""How long a backend server takes, as observed."""

import math
from typing import Final, final

__all__ = ('ServiceTime',)

#: Weight of the newest observation.
_WEIGHT: Final = 0.2
#: Time without observations after which half of the estimate is forgotten.
_HALF_LIFE_MS: Final = 3000.0
#: Expected of a server that was never observed.
_UNKNOWN_MS: Final = 1.0


@final
class ServiceTime:
    """Smooths observed times and forgets them while none come.

    Forgetting makes a server that was slow worth another attempt, so that
    its recovery is noticed without a probe.
    """

    def __init__(self) -> None:
        """Start without an observation."""
        self._mean_ms: float | None = None
        self._observed_ms: float = 0

    def observe(self, service_ms: float, now_ms: float) -> None:
        """Take in one attempt's time."""
        if self._mean_ms is None:
            self._mean_ms = service_ms
        else:
            self._mean_ms += _WEIGHT * (service_ms - self._mean_ms)
        self._observed_ms = now_ms

    def expected_ms(self, now_ms: float) -> float:
        """Estimate the next attempt's time."""
        if self._mean_ms is None:
            return _UNKNOWN_MS
        half_lives = max(0, now_ms - self._observed_ms) / _HALF_LIFE_MS
        return max(_UNKNOWN_MS, self._mean_ms * math.exp2(-half_lives))
