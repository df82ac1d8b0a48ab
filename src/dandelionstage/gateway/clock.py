"""Monotonic clock in milliseconds."""

import time
from typing import Final

__all__ = ('now_ms',)

_MS_PER_S: Final = 1000.0


def now_ms() -> float:
    """Return the monotonic time, unaffected by changes of the wall clock."""
    return time.monotonic() * _MS_PER_S
