"""Spans of time."""

from collections.abc import Callable

__all__ = ('within',)


def within(from_ms: float, to_ms: float) -> Callable[[float], bool]:
    """Return what tells whether a time lies within a window."""
    return lambda at_ms: from_ms <= at_ms < to_ms
