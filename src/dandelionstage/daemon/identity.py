"""Who this daemon is: its name, place and incarnation."""

from ..inner.messages import Hello
from ..model.ids import Incarnation
from ..settings.model import Settings
from .clock import wall_ms

__all__ = ('new_greeting',)


def new_greeting(settings: Settings) -> Hello:
    """Make the greeting of a process that starts now.

    The time of day orders the incarnations of a VM, since nothing of an
    earlier one is kept.
    """
    return Hello(
        vm=settings.vm,
        incarnation=Incarnation(wall_ms()),
        data_centre=settings.data_centre,
    )
