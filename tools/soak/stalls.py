"""Times at which the soak itself did not run."""

import asyncio
from typing import Final, final

from dandelionstage.gateway.clock import now_ms

__all__ = ('Stalls',)

_BEAT_S: Final = 0.02
#: A beat that takes longer than this is a stall.
_LATE_MS: Final = 80.0


@final
class Stalls:
    """Records when the event loop of the soak stood still.

    Callers, backend servers and the store are played by that loop, so what
    they measure meanwhile is not what the VMs did.
    """

    def __init__(self) -> None:
        """Create a record without stalls."""
        self._spells: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Record stalls, until cancelled."""
        while True:
            began_ms = now_ms()
            await asyncio.sleep(_BEAT_S)
            if now_ms() - began_ms > _LATE_MS:
                self._spells.append((began_ms, now_ms()))

    def within_ms(self, from_ms: float, to_ms: float) -> float:
        """Return for how long the soak stood still within a time, in ms."""
        return sum(
            max(0, min(ended_ms, to_ms) - max(began_ms, from_ms))
            for began_ms, ended_ms in self._spells
        )

    @property
    def longest_ms(self) -> float:
        """Length of the longest stall, in ms."""
        return max((end - began for began, end in self._spells), default=0)
