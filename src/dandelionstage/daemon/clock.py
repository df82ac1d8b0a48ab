"""The clocks of a daemon; only its shell reads them."""

import time
from typing import Final

__all__ = ('monotonic_ms', 'wall_ms', 'wall_s')

_MS_PER_S: Final = 1000


def monotonic_ms() -> float:
    """Read the clock that all decisions are given, in milliseconds."""
    return time.monotonic() * _MS_PER_S


def wall_s() -> float:
    """Read the time of day in seconds since 1970."""
    return time.time()


def wall_ms() -> int:
    """Read the time of day in whole milliseconds since 1970."""
    return int(wall_s() * _MS_PER_S)
