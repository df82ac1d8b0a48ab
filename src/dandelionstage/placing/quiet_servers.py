"""Servers that have asked this VM to send them nothing for a time."""

from collections import OrderedDict
from typing import Final, final

from ..catalog.servers import ServerStart

__all__ = ('QuietServers',)

#: Number of servers that are remembered.
_MAX_SERVERS: Final = 4096


@final
class QuietServers:
    """Ends of the quiet times that servers asked for.

    A server may be dropped and listed again meanwhile, with a new pool; the
    request holds for as long as its process lives.
    """

    def __init__(self) -> None:
        """Create an instance that knows of no server."""
        self._until_ms: OrderedDict[ServerStart, float] = OrderedDict()

    def add(self, start: ServerStart, until_ms: float) -> float:
        """Record a quiet time.

        :returns: by how much it ends later than the one known, in ms.
        """
        known_ms = self.until_ms(start)
        if until_ms <= known_ms:
            return 0
        self._until_ms[start] = until_ms
        self._until_ms.move_to_end(start)
        if len(self._until_ms) > _MAX_SERVERS:
            self._until_ms.popitem(last=False)
        return until_ms - known_ms

    def until_ms(self, start: ServerStart) -> float:
        """Return when the quiet time of a server ends, ``-inf`` if none."""
        return self._until_ms.get(start, float('-inf'))
