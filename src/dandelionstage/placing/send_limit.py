"""Whether one VM may send requests to a server that limits them.

A server may ask a VM to send it nothing for a time.  Afterwards the VM sends it
one request at a time, then more, as all VMs that it asked return together.

Load pattern of the permits: a server names a rate of requests for all VMs
together.  Each of many VMs sends only a few requests a second, often fewer than
one, so fixed shares of the rate would be too small to send anything; permits go
to the VMs that have requests.  A server that is cold has a limit of its own,
which its service names and which ends when it has warmed up.
"""

import math
from collections import deque
from typing import Final, final

from .permit_issuer import PERMIT_MS
from .warm_up import COLD_PERMIT_MS

__all__ = ('SendLimit',)

_INFINITE: Final = float('inf')
#: Time for which permits are requested in advance, by the recent demand.
_AHEAD_S: Final = 0.4
#: Time constant of the demand.
_DEMAND_MS: Final = 1000.0
#: Maximum number of permits in one request.
_MAX_WANTED: Final = 100
#: After a quiet time, the VM may have one more request at the server each time
#: that the first value has passed, until the second.
_RAMP_STEP_MS: Final = 100.0
_RAMP_MS: Final = 1000.0


@final
class SendLimit:  # noqa: WPS214 -- short methods on one record
    """Limit of one server, and this VM's permits to send to it.

    :ivar per_s: requests a second that the server takes from all VMs
        together, 0 while it has no limit.
    :ivar cold_per_s: the part of that which is due to its warm-up, 0 if it is
        not cold.
    """

    __slots__ = (
        '_cold_until_ms',
        '_demand',
        '_demand_ms',
        '_named_per_s',
        '_permits',
        '_quiet_until_ms',
        '_refused_until_ms',
        'cold_per_s',
        'per_s',
    )

    def __init__(self) -> None:
        """Create the state of a server without a limit."""
        self.per_s: float = 0
        self.cold_per_s: float = 0
        self._named_per_s: float = 0
        self._cold_until_ms = -_INFINITE
        self._permits: deque[float] = deque()
        self._refused_until_ms = -_INFINITE
        self._quiet_until_ms = -_INFINITE
        self._demand: float = 0
        self._demand_ms: float = 0

    def change(self, per_s: float) -> None:
        """Apply a changed limit; permits lose their meaning if it ends."""
        if per_s != self._named_per_s:
            self._named_per_s = per_s
            self._apply()

    def warm_up(self, per_s: float, until_ms: float) -> None:
        """Limit the server while it is cold.

        :param per_s: requests a second, 0 if it needs no limit.
        """
        self._cold_until_ms = until_ms
        if per_s != self.cold_per_s:
            self.cold_per_s = per_s
            self._apply()

    def end_warm_up(self, now_ms: float) -> None:
        """Lift the limit of a cold server if it has warmed up."""
        if self.cold_per_s and now_ms >= self._cold_until_ms:
            self.cold_per_s = 0
            self._apply()

    def lowest_per_s(self, cold_per_s: float) -> float:
        """Return the limit, 0 for none, if another VM takes it for cold.

        The VMs do not learn at the same time that a server is cold, so it is
        enough that one of them knows.

        :param cold_per_s: what the other VM takes for the rate, 0 for none.
        """
        return min(filter(None, (self.per_s, cold_per_s)), default=0)

    @property
    def permit_ms(self) -> float:
        """How long a permit lasts."""
        return COLD_PERMIT_MS if self.cold_per_s else PERMIT_MS

    def take(self, now_ms: float) -> bool:
        """Use a permit; return whether there was one."""
        self._drop_expired(now_ms)
        if not self._permits:
            return False
        self._permits.popleft()
        return True

    def add(self, count: int, until_ms: float) -> None:
        """Store permits that may be used until a time."""
        self._refused_until_ms = -_INFINITE
        self._permits.extend(until_ms for _ in range(count))

    def refuse(self, until_ms: float) -> None:
        """Record that no VM grants permits before a time."""
        self._refused_until_ms = until_ms

    def rest(self, until_ms: float) -> None:
        """Send nothing before a time, as the server has asked for that."""
        self._quiet_until_ms = max(self._quiet_until_ms, until_ms)

    def quiet_left_ms(self, now_ms: float) -> float:
        """Return how much of a quiet time is left, in ms."""
        return max(0, self._quiet_until_ms - now_ms)

    def is_refused(self, now_ms: float, load: int = 0) -> bool:
        """Whether a request could not be sent now.

        :param load: unfinished requests of this VM at the server.

        A server for which permits may be requested is used like any other:
        only its replies tell when its limit ends.
        """
        since_quiet_ms = now_ms - self._quiet_until_ms
        if since_quiet_ms < _RAMP_MS and (
            since_quiet_ms < 0 or load > since_quiet_ms // _RAMP_STEP_MS
        ):
            return True
        return self._refused_until_ms > now_ms and not self._has_permit(now_ms)

    def record_demand(self, now_ms: float) -> None:
        """Record a request that is to be sent."""
        kept = math.exp((self._demand_ms - now_ms) / _DEMAND_MS)
        self._demand = self._demand * kept + 1
        self._demand_ms = now_ms

    def wanted(self, waiting: int) -> int:
        """Return how many permits to request.

        :param waiting: number of requests that wait for one.
        """
        ahead = int(self._demand * _AHEAD_S)
        return min(_MAX_WANTED, max(1, waiting + ahead))

    def _apply(self) -> None:
        limits = filter(None, (self._named_per_s, self.cold_per_s))
        self.per_s = min(limits, default=0)
        self._refused_until_ms = -_INFINITE
        if not self.per_s:
            self._permits.clear()

    def _has_permit(self, now_ms: float) -> bool:
        self._drop_expired(now_ms)
        return bool(self._permits)

    def _drop_expired(self, now_ms: float) -> None:
        permits = self._permits
        while permits and permits[0] <= now_ms:
            permits.popleft()
