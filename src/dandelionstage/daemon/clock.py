"""The clock that the tasks of a daemon pass to its decisions."""

import time
from typing import Final

__all__ = ('now_ms',)

_MS_PER_S: Final = 1000


def now_ms() -> float:
    """Read the monotonic clock, in milliseconds."""
    return time.monotonic() * _MS_PER_S
