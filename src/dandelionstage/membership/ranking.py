"""Lists of VMs by data centre, the most trusted first."""

from collections.abc import Callable, Mapping
from typing import final

from ..model.ids import DataCentreId, VmId

__all__ = ('Ranking', 'VmLists')

#: VMs by data centre.
VmLists = Mapping[DataCentreId, tuple[VmId, ...]]


@final
class Ranking:
    """Orders published VMs by what is believed of them.

    A list is built once per change in its data centre, so that a caller may
    keep what it derived from a list for as long as it gets the same object.
    """

    def __init__(self, order: Callable[[VmId], int]) -> None:
        """Start with no VM.

        :param order: 0 for a VM that is fully trusted, else higher.
        """
        self._order = order
        self._published: VmLists = {}
        self._live: dict[DataCentreId, tuple[VmId, ...]] = {}
        self._usable: dict[DataCentreId, tuple[VmId, ...]] = {}

    def use(self, published: VmLists) -> None:
        """Order these lists from now on; each is sorted by name."""
        self._published = published
        self._live.clear()
        self._usable.clear()

    def forget(self, data_centre: DataCentreId) -> None:
        """Order the VMs of one data centre anew."""
        self._live.pop(data_centre, None)
        self._usable.pop(data_centre, None)

    def live(self, data_centre: DataCentreId) -> tuple[VmId, ...]:
        """List the fully trusted VMs, sorted by name."""
        members = self._live.get(data_centre)
        if members is None:
            published = self._published.get(data_centre, ())
            members = tuple(vm for vm in published if not self._order(vm))
            self._live[data_centre] = members
        return members

    def usable(self, data_centre: DataCentreId) -> tuple[VmId, ...]:
        """List all VMs, the most trusted first, then by name."""
        members = self._usable.get(data_centre)
        if members is None:
            published = self._published.get(data_centre, ())
            members = tuple(sorted(published, key=self._order))
            self._usable[data_centre] = members
        return members
