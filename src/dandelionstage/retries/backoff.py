"""Spaces retries out so that many clients do not return at once."""

from random import Random
from typing import Final

__all__ = ('backoff_ms',)

_BASE_MS: Final = 2
_CAP_MS: Final = 250


def backoff_ms(attempt: int, retry_after_ms: int, random: Random) -> float:
    """Return how long to wait before an attempt.

    Exponential backoff with full jitter (Brooker, "Exponential Backoff and
    Jitter", 2015), on top of what the server asked for.

    :param attempt: number of attempts made so far, from 1.
    :param retry_after_ms: earliest retry the server allows, 0 when unknown.
    """
    ceiling_ms = min(_CAP_MS, _BASE_MS * 2**attempt)
    return retry_after_ms + random.uniform(0, ceiling_ms)
