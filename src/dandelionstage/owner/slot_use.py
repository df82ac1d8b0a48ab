"""The slots of one backend server that this VM uses."""

from typing import final

__all__ = ('SlotUse',)


@final
class SlotUse:
    """Counts attempts in flight, and those that may still run unseen.

    :ivar in_flight: attempts started and not ended.
    :ivar lingering_ms: until when each ended attempt may still run.
    """

    def __init__(self) -> None:
        """Start with none in use."""
        self.in_flight = 0
        self.lingering_ms: list[float] = []

    def take(self) -> None:
        """Use one more."""
        self.in_flight += 1

    def free(self, until_ms: float) -> None:
        """End an attempt whose slot is free from a time on."""
        self.in_flight -= 1
        self.lingering_ms.append(until_ms)

    def in_use(self, now_ms: float) -> int:
        """Count those not free."""
        self.lingering_ms = [
            until_ms for until_ms in self.lingering_ms if until_ms > now_ms
        ]
        return self.in_flight + len(self.lingering_ms)
