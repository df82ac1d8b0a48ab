"""Call ids for lease requests."""

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Final

from ..model.ids import CallId, VmId

__all__ = ('CallIdFactory', 'make_call_id_factory')

CallIdFactory = Callable[[], CallId]

_PREFIX_BITS: Final = 64


def make_call_id_factory(vm: VmId, random: Random) -> CallIdFactory:
    """Create a function that returns a new call id on each call.

    A random prefix keeps the ids apart from those that earlier processes of
    the same VM have used.
    """
    prefix = '{0}/{1:x}'.format(vm, random.getrandbits(_PREFIX_BITS))
    numbers = count()

    def new_call() -> CallId:  # noqa: WPS430 -- a closure over the counter
        return CallId('{0}/{1}'.format(prefix, next(numbers)))

    return new_call
