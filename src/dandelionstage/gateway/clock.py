"""The steady clock in milliseconds."""

import time
from typing import Final

__all__ = ('now_ms',)

_MS_PER_S: Final = 1000.0


def now_ms() -> float:
    """Read the steady clock; the time of day has no part in it."""
    return time.monotonic() * _MS_PER_S
