"""Ids for lease requests."""

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Final

from ..model.ids import CallId, VmId

__all__ = ('CallIdFactory', 'make_call_id_factory')

CallIdFactory = Callable[[], CallId]

_START_BITS: Final = 64


def make_call_id_factory(vm: VmId, random: Random) -> CallIdFactory:
    """Make ids that no earlier start of this VM's process has used."""
    start = '{0}/{1:x}'.format(vm, random.getrandbits(_START_BITS))
    numbers = count()

    def new_call() -> CallId:  # noqa: WPS430 -- the house style's closures
        return CallId('{0}/{1}'.format(start, next(numbers)))

    return new_call
