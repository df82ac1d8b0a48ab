"""Lists of VMs by data centre, live ones first."""

from collections.abc import Callable, Mapping
from typing import final

from ..model.ids import DataCentreId, VmId

__all__ = ('Ranking', 'VmLists')

#: VMs by data centre.
VmLists = Mapping[DataCentreId, tuple[VmId, ...]]


@final
class Ranking:
    """Orders the published VMs of each data centre by state.

    A list is rebuilt only after a change in its data centre, so callers can
    cache values derived from a list as long as they get the same object.
    """

    def __init__(self, order: Callable[[VmId], int]) -> None:
        """Start without VMs.

        :param order: returns 0 for a live VM, else a higher number.
        """
        self._order = order
        self._published: VmLists = {}
        self._live: dict[DataCentreId, tuple[VmId, ...]] = {}
        self._usable: dict[DataCentreId, tuple[VmId, ...]] = {}

    def replace_published(self, published: VmLists) -> None:
        """Replace the published VMs; each list is sorted by name."""
        self._published = published
        self._live.clear()
        self._usable.clear()

    def invalidate(self, data_centre: DataCentreId) -> None:
        """Discard the cached lists of one data centre."""
        self._live.pop(data_centre, None)
        self._usable.pop(data_centre, None)

    def live(self, data_centre: DataCentreId) -> tuple[VmId, ...]:
        """Return the live VMs, sorted by name."""
        members = self._live.get(data_centre)
        if members is None:
            published = self._published.get(data_centre, ())
            members = tuple(vm for vm in published if not self._order(vm))
            self._live[data_centre] = members
        return members

    def usable(self, data_centre: DataCentreId) -> tuple[VmId, ...]:
        """Return all VMs, sorted by state and then by name."""
        members = self._usable.get(data_centre)
        if members is None:
            published = self._published.get(data_centre, ())
            members = tuple(sorted(published, key=self._order))
            self._usable[data_centre] = members
        return members
