"""Which slots of a backend server are in use."""

from collections import Counter
from dataclasses import dataclass, replace
from typing import Self, final

from ..model.ids import VmId

__all__ = ('SlotHold', 'SlotUse')


@final
@dataclass(frozen=True, slots=True)
class SlotHold:
    """One slot taken for an attempt.

    :ivar lender: whose slot it is, ``None`` for one of this VM's own.
    :ivar until_ms: when the attempt must have ended.
    """

    lender: VmId | None
    until_ms: float

    def until(self, deadline_ms: float) -> Self:
        """Use the slot no longer than to a deadline."""
        return replace(self, until_ms=min(self.until_ms, deadline_ms))


@final
class SlotUse:
    """Counts attempts in flight, and those that may still run unseen.

    :ivar in_flight: attempts started and not ended.
    """

    def __init__(self) -> None:
        """Start with none in use."""
        self.in_flight = 0
        self._in_use: Counter[VmId | None] = Counter()
        self._lingering: list[SlotHold] = []

    def acquire(self, hold: SlotHold) -> None:
        """Use a slot."""
        self.in_flight += 1
        self._in_use[hold.lender] += 1

    def release(self, hold: SlotHold, from_ms: float, now_ms: float) -> None:
        """End an attempt whose slot is free from a time on."""
        self.in_flight -= 1
        if from_ms > now_ms:
            self._lingering.append(SlotHold(hold.lender, from_ms))
        else:
            self._in_use[hold.lender] -= 1

    def count(self, lender: VmId | None, now_ms: float) -> int:
        """Count the slots of one lender that are in use."""
        self._end_lingering(now_ms)
        return self._in_use[lender]

    def total(self, now_ms: float) -> int:
        """Count all slots in use."""
        self._end_lingering(now_ms)
        return self._in_use.total()

    def next_free_ms(self) -> float | None:
        """Say when the next lingering slot is free."""
        return min((hold.until_ms for hold in self._lingering), default=None)

    def _end_lingering(self, now_ms: float) -> None:
        for hold in tuple(self._lingering):
            if hold.until_ms <= now_ms:
                self._lingering.remove(hold)
                self._in_use[hold.lender] -= 1
