"""Data centres whose servers are to be sent nothing, by order of operators."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NewType, final

from .servers import ServerRecord, ServerState

__all__ = ('DataCentreId', 'EvacuationOrder', 'Evacuations')

DataCentreId = NewType('DataCentreId', str)


@final
@dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """What operators want of the servers of one data centre.

    :ivar is_in_force: whether nothing is to be sent to them; false once the
        order was taken back.
    """

    data_centre: DataCentreId
    is_in_force: bool


@final
class Evacuations:
    """Data centres that are evacuated.

    Load pattern: operators take the servers of a whole data centre out of use,
    for a repair or as they are about to fail, while its VMs go on serving
    callers.  All requests for these servers move to the others within seconds,
    and return together when the order is taken back.  Servers that start there
    meanwhile, and entries that arrive late, are affected as well, so the order
    outweighs the state that an entry names.
    """

    def __init__(self) -> None:
        """Create an instance without an order."""
        self._evacuated: set[DataCentreId] = set()

    def __len__(self) -> int:
        """Return the number of data centres that are evacuated."""
        return len(self._evacuated)

    def __iter__(self) -> Iterator[DataCentreId]:
        """Iterate over the data centres that are evacuated."""
        return iter(sorted(self._evacuated))

    def apply(self, order: EvacuationOrder) -> bool:
        """Apply an order; return whether it changes anything."""
        if order.is_in_force is (order.data_centre in self._evacuated):
            return False
        if order.is_in_force:
            self._evacuated.add(order.data_centre)
        else:
            self._evacuated.remove(order.data_centre)
        return True

    def applied_to(self, record: ServerRecord) -> ServerRecord:
        """Return a record with the state that the server has."""
        if record.data_centre in self._evacuated:
            return replace(record, state=ServerState.DRAINING)
        return record
