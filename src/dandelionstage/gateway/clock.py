"""Monotonic clock and timers in milliseconds."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

__all__ = ('call_later', 'now_ms')

_MS_PER_S: Final = 1000.0


def now_ms() -> float:
    """Return the monotonic time, unaffected by changes of the wall clock."""
    return time.monotonic() * _MS_PER_S


def call_later(
    wait_ms: float, action: Callable[[], None]
) -> asyncio.TimerHandle:
    """Schedule a call on the running event loop."""
    return asyncio.get_running_loop().call_later(wait_ms / _MS_PER_S, action)
