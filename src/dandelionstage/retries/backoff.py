"""Delays retries so that many clients do not retry at the same time."""

from random import Random
from typing import Final

__all__ = ('backoff_ms',)

_BASE_DELAY_MS: Final = 2
_MAX_DELAY_MS: Final = 250


def backoff_ms(attempt: int, retry_after_ms: int, random: Random) -> float:
    """Return how long to wait before an attempt, in ms.

    Exponential backoff with full jitter (Brooker, "Exponential Backoff and
    Jitter", 2015), added to the delay that the server asked for.

    :param attempt: number of attempts made so far, from 1.
    :param retry_after_ms: delay that the server asked for, 0 if unknown.
    """
    ceiling_ms = min(_MAX_DELAY_MS, _BASE_DELAY_MS * 2**attempt)
    return retry_after_ms + random.uniform(0, ceiling_ms)
