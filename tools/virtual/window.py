"""Rates over a stretch of virtual time."""

from typing import Final, final

from .fleet import VirtualFleet

__all__ = ('Window',)

_MS_PER_S: Final = 1000


@final
class Window:
    """Counts what happens between its making and its closing.

    :ivar bytes_per_s: of one VM, both directions.
    :ivar reads_per_s: of the service, by the whole fleet.
    """

    def __init__(self, fleet: VirtualFleet) -> None:
        """Start to count."""
        self.bytes_per_s: float = 0
        self.reads_per_s: float = 0
        self._fleet = fleet
        self._start_ms = fleet.network.now_ms
        self._bytes = self._count_bytes()
        self._reads = fleet.service.reads

    def close(self) -> None:
        """Stop to count and work out the rates."""
        elapsed_ms = self._fleet.network.now_ms - self._start_ms
        elapsed_s = elapsed_ms / _MS_PER_S
        vms = len(self._fleet.vms)
        size_bytes = self._count_bytes() - self._bytes
        self.bytes_per_s = size_bytes / vms / elapsed_s
        self.reads_per_s = (self._fleet.service.reads - self._reads) / elapsed_s

    def _count_bytes(self) -> int:
        counted = [vm.traffic for vm in self._fleet.vms.values()]
        sent = sum(traffic.sent_bytes for traffic in counted)
        return sent + sum(traffic.received_bytes for traffic in counted)
