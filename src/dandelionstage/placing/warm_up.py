"""Servers that are cold, and the requests that they take meanwhile.

Load pattern: the servers of a whole data centre return together, after an
evacuation or an outage.  Each is cold for some seconds: it takes a few requests
a second, from all VMs together, and ends if it gets many more.  The callers'
requests would all return to it at once.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final, final

from ..catalog.servers import ServerStart
from .permit_issuer import ISSUERS

__all__ = ('COLD_DEPTH_S', 'COLD_PERMIT_MS', 'AssumedWarmUps', 'ColdTolerance')

#: Duration of a permit to send to a cold server, and the time for which unused
#: permits are kept.  A second may get the permits of both times besides its
#: own.
COLD_PERMIT_MS: Final = 300.0
COLD_DEPTH_S: Final = 0.2
_MS_PER_S: Final = 1000.0
#: Lowest rate; a server that gets nothing would never be found warm.
_MIN_PER_S: Final = 0.25
#: Number of servers that are remembered.
_MAX_SERVERS: Final = 4096


@final
@dataclass(frozen=True, slots=True)
class ColdTolerance:
    """By how much a cold server bears more than its rate within a second.

    :ivar ratio: multiple of the rate.
    :ivar slack: number of requests on top of that.
    """

    ratio: float = 1
    slack: float = 0

    def permitted_per_s(self, per_s: float) -> float:
        """Return the rate of permits that keeps each second within bounds.

        :param per_s: rate that the server takes.
        """
        # Each issuer has one permit at first, whatever the rate.
        borne = self.ratio * per_s + self.slack - ISSUERS
        seconds = 1 + COLD_PERMIT_MS / _MS_PER_S + COLD_DEPTH_S
        return max(_MIN_PER_S, min(per_s, borne / seconds))


@final
class AssumedWarmUps:
    """Servers that are cold although their entries do not say so yet.

    A server gets no requests while its data centre is evacuated, and one that
    accepted no connections may have started again.  Both are known before the
    server has written its entry.
    """

    def __init__(self) -> None:
        """Create an instance that assumes nothing."""
        self._until_ms: OrderedDict[ServerStart, float] = OrderedDict()

    def begin(self, start: ServerStart, until_ms: float) -> None:
        """Take a server for cold until a time."""
        self._until_ms[start] = until_ms
        self._until_ms.move_to_end(start)
        if len(self._until_ms) > _MAX_SERVERS:
            self._until_ms.popitem(last=False)

    def left_ms(self, start: ServerStart, now_ms: float) -> float:
        """Return how much longer a server is taken for cold."""
        until_ms = self._until_ms.get(start)
        if until_ms is None:
            return 0
        if until_ms <= now_ms:
            self._until_ms.pop(start)
            return 0
        return until_ms - now_ms
