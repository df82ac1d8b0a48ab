"""Limits how often one VM reads the configuration service."""

from typing import Final, final

__all__ = ('ReadRateLimit',)

#: Size of a burst of reads, enough for all documents of a fleet.
_BURST_READS: Final = 100

#: Sustained reads per second of one VM.
_READS_PER_S: Final = 10

_MS_PER_S: Final = 1000


@final
class ReadRateLimit:
    """A token bucket that bounds the reads of one VM under any fault."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._tokens: float = _BURST_READS
        self._updated_ms: float | None = None

    def try_acquire(self, now_ms: float) -> bool:
        """Take a token for one read; return whether there was one."""
        if self._updated_ms is not None:
            elapsed_ms = max(0, now_ms - self._updated_ms)
            earned = elapsed_ms * _READS_PER_S / _MS_PER_S
            self._tokens = min(_BURST_READS, self._tokens + earned)
        self._updated_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
