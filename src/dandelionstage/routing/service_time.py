"""Moving average of the service time of a backend server."""

import math
from typing import Final, final

__all__ = ('ServiceTime',)

#: Weight of the newest observation in the moving average.
_NEWEST_WEIGHT: Final = 0.2
#: Time without observations in which the estimate falls to one half.
_HALF_LIFE_MS: Final = 3000.0
#: Lower bound, and the estimate for a server without observations.
_MIN_ESTIMATE_MS: Final = 1.0


@final
class ServiceTime:
    """Estimates the service time by a moving average that decays over time.

    Because of the decay a slow server gets another attempt later, so that its
    recovery is detected without a probe.
    """

    def __init__(self) -> None:
        """Create an estimate without observations."""
        self._mean_ms: float | None = None
        self._observed_ms: float = 0

    def observe(self, service_ms: float, now_ms: float) -> None:
        """Record the service time of one attempt."""
        if self._mean_ms is None:
            self._mean_ms = service_ms
        else:
            self._mean_ms += _NEWEST_WEIGHT * (service_ms - self._mean_ms)
        self._observed_ms = now_ms

    def expected_ms(self, now_ms: float) -> float:
        """Return the expected service time of the next attempt."""
        if self._mean_ms is None:
            return _MIN_ESTIMATE_MS
        half_lives = max(0, now_ms - self._observed_ms) / _HALF_LIFE_MS
        return max(_MIN_ESTIMATE_MS, self._mean_ms * math.exp2(-half_lives))
