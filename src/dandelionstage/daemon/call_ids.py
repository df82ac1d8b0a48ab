"""Ids that no other process, nor an earlier start of this one, uses."""

from collections.abc import Callable
from itertools import count

from ..model.ids import CallId, Incarnation, VmId

__all__ = ('call_ids',)


def call_ids(vm: VmId, incarnation: Incarnation) -> Callable[[], CallId]:
    """Make a source of call ids for one process incarnation."""
    numbers = count(1)

    def next_call() -> CallId:  # noqa: WPS430 -- a closure over the counter
        return CallId('{0}.{1:x}.{2}'.format(vm, incarnation, next(numbers)))

    return next_call
