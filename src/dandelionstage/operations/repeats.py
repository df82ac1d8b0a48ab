"""Decide which of many like log lines are written."""

from dataclasses import dataclass
from typing import Final, final

__all__ = ('RepeatLimiter',)

_INTERVAL_MS: Final = 10_000
_MAX_FAULTS: Final = 1000


@final
@dataclass(slots=True)
class _Repeats:
    written_ms: float
    withheld: int = 0


@final
class RepeatLimiter:
    """Lets a repeating fault through once in each interval."""

    def __init__(
        self,
        interval_ms: float = _INTERVAL_MS,
        max_faults: int = _MAX_FAULTS,
    ) -> None:
        """Start with no fault known.

        :param max_faults: as many are told apart; the one written longest
            ago is forgotten first.
        """
        self._interval_ms = interval_ms
        self._max_faults = max_faults
        self._repeats: dict[str, _Repeats] = {}

    def admit(self, fault: str, now_ms: float) -> int | None:
        """Decide whether to write a fault now.

        :returns: how many lines of it were withheld since the last one
            written, or ``None`` to withhold this one too.
        """
        repeats = self._repeats.get(fault)
        if repeats is None:
            return self._remember(fault, now_ms)
        if now_ms - repeats.written_ms < self._interval_ms:
            repeats.withheld += 1
            return None
        self._remember(fault, now_ms)
        return repeats.withheld

    def _remember(self, fault: str, now_ms: float) -> int:
        self._repeats.pop(fault, None)
        if len(self._repeats) >= self._max_faults:
            oldest = next(iter(self._repeats))
            self._repeats.pop(oldest)
        self._repeats[fault] = _Repeats(now_ms)
        return 0
