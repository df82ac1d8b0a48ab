"""Slots of a backend server that are in use."""

from collections import Counter
from dataclasses import dataclass, replace
from typing import Self, final

from ..model.ids import VmId

__all__ = ('SlotHold', 'SlotUse')


@final
@dataclass(frozen=True, slots=True)
class SlotHold:
    """One slot in use by an attempt.

    :ivar lender: VM that lent the slot, ``None`` for an own slot.
    :ivar until_ms: time by which the attempt must have ended.
    """

    lender: VmId | None
    until_ms: float

    def until(self, deadline_ms: float) -> Self:
        """Return a copy that ends at a deadline, if that is earlier."""
        return replace(self, until_ms=min(self.until_ms, deadline_ms))


@final
class SlotUse:
    """Counts the slots in use by attempts, and by those that may still run.

    The slot of an attempt whose outcome is unknown lingers: it stays in use
    until the attempt must have ended at the server.

    :ivar in_flight: number of attempts started and not ended.
    """

    def __init__(self) -> None:
        """Create a count of no slots."""
        self.in_flight = 0
        self._in_use: Counter[VmId | None] = Counter()
        self._lingering: list[SlotHold] = []

    def acquire(self, hold: SlotHold) -> None:
        """Mark a slot as in use."""
        self.in_flight += 1
        self._in_use[hold.lender] += 1

    def release(self, hold: SlotHold, from_ms: float, now_ms: float) -> None:
        """Record the end of an attempt; its slot is free at ``from_ms``."""
        self.in_flight -= 1
        if from_ms > now_ms:
            self._lingering.append(SlotHold(hold.lender, from_ms))
        else:
            self._in_use[hold.lender] -= 1

    def count(self, lender: VmId | None, now_ms: float) -> int:
        """Return the slots of one lender in use, own slots for ``None``."""
        self._release_lingering(now_ms)
        return self._in_use[lender]

    def total(self, now_ms: float) -> int:
        """Return the number of all slots in use."""
        self._release_lingering(now_ms)
        return self._in_use.total()

    def next_free_ms(self) -> float | None:
        """Return when the next lingering slot is free, ``None`` without any."""
        return min((hold.until_ms for hold in self._lingering), default=None)

    def _release_lingering(self, now_ms: float) -> None:
        for hold in tuple(self._lingering):
            if hold.until_ms <= now_ms:
                self._lingering.remove(hold)
                self._in_use[hold.lender] -= 1
