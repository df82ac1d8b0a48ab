"""Grants of permits to send to servers that limit their requests.

Load pattern: the requests of hundreds of VMs together exceed the rate that a
server takes, and which VMs have requests changes from second to second.
"""

import math
from collections import OrderedDict
from typing import Final, NamedTuple, final

from ..catalog.servers import ServerStart

__all__ = ('DEPTH_S', 'ISSUERS', 'PERMIT_MS', 'Grant', 'PermitIssuer')

#: Number of VMs that issue the permits of a server.  While one of them is
#: gone, its part of the limit is not used.
ISSUERS: Final = 3
#: Duration of a permit.  Those granted before a window may be used in it, so a
#: server gets at most the permits of a window and of this time.
PERMIT_MS: Final = 800.0
#: Permits that were not granted are kept for this time.
DEPTH_S: Final = 0.5
#: Fraction of the permits at hand that one VM gets.
_GRANTED_FRACTION: Final = 0.5
#: Bounds of the time after which a refused VM may ask again.
_MIN_RETRY_MS: Final = 30.0
_MAX_RETRY_MS: Final = 2000.0
#: Time constant of the number of recently refused requests.
_REFUSED_MS: Final = 1000.0
_MS_PER_S: Final = 1000.0
#: Number of servers for which grants are kept.
_MAX_SERVERS: Final = 4096


@final
class Grant(NamedTuple):
    """Reply to a request for permits.

    :ivar permits: number of permits.
    :ivar retry_ms: time after which another request makes sense if there are
        none.
    """

    permits: int
    retry_ms: float


@final
class _Bucket:
    """Permits of one server that have not been granted yet."""

    __slots__ = ('_permits', '_refused', '_updated_ms')

    def __init__(self, now_ms: float) -> None:
        # One at first, so that a server with a low limit is not avoided.
        self._permits: float = 1
        self._refused: float = 0
        self._updated_ms = now_ms

    def grant(
        self, per_s: float, wanted: int, now_ms: float, depth_s: float
    ) -> Grant:
        passed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        self._refused *= math.exp(-passed_ms / _REFUSED_MS)
        self._permits = min(
            max(1, per_s * depth_s),
            self._permits + per_s * passed_ms / _MS_PER_S,
        )
        if self._permits >= 1:
            most = max(1, int(self._permits * _GRANTED_FRACTION))
            granted = min(wanted, most)
            self._permits -= granted
            return Grant(granted, 0)
        # Others that were refused wait for the next permits, too.
        due_s = (1 - self._permits + self._refused) / per_s
        self._refused += 1
        retry_ms = max(_MIN_RETRY_MS, due_s * _MS_PER_S)
        return Grant(0, min(_MAX_RETRY_MS, retry_ms))


@final
class PermitIssuer:
    """Grants one VM's part of the permits of each server.

    A few VMs issue the permits of a server, each an equal part of its limit,
    so none of them needs to know what the others granted.  One that starts
    has not stored any permits, so it repeats none that it granted before.
    """

    def __init__(self) -> None:
        """Create an issuer that has granted nothing."""
        self._buckets: OrderedDict[ServerStart, _Bucket] = OrderedDict()

    def grant(  # noqa: WPS211 -- the request, the clock and the terms
        self,
        start: ServerStart,
        per_s: float,
        wanted: int,
        now_ms: float,
        depth_s: float = DEPTH_S,
    ) -> Grant:
        """Grant permits to send to a server.

        :param per_s: this VM's part of the limit, above 0.
        :param depth_s: how long permits that were not granted are kept.
        """
        bucket = self._buckets.get(start)
        if bucket is None:
            bucket = self._buckets.setdefault(start, _Bucket(now_ms))
            if len(self._buckets) > _MAX_SERVERS:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(start)
        return bucket.grant(per_s, max(1, wanted), now_ms, depth_s)
