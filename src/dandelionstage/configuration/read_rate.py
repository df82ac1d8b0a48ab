"""A bound on how often one VM reads the configuration service."""

from typing import Final, final

__all__ = ('ReadRate',)

#: Reads one VM may make at once, enough for the documents of a fleet.
_BURST: Final = 100

#: Reads per second that one VM may make for long.
_READS_PER_S: Final = 10

_MS_PER_S: Final = 1000


@final
class ReadRate:
    """A token bucket, so that no fault makes one VM read without end."""

    def __init__(self) -> None:
        """Start full."""
        self._tokens: float = _BURST
        self._updated_ms: float | None = None

    def take(self, now_ms: float) -> bool:
        """Take one read if the bound allows it."""
        if self._updated_ms is not None:
            elapsed_ms = max(0, now_ms - self._updated_ms)
            earned = elapsed_ms * _READS_PER_S / _MS_PER_S
            self._tokens = min(_BURST, self._tokens + earned)
        self._updated_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
