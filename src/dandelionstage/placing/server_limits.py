"""Limits on requests that backend servers name in their replies.

Load pattern: a server that cannot do its usual work names the rate of requests
that it takes from all VMs together, as long as it needs to.  Each VM gets few
of its replies, so the VMs pass on what they read.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Final, final

import msgspec

from ..catalog.servers import ServerId, ServerRecord, ServerStart

__all__ = ('LimitReport', 'ServerLimits')

#: Maximum number of limits in one message, so that it fits into one packet:
#: those that changed within the time below first, others at random.
_MAX_REPORTED: Final = 12
_NEWS_MS: Final = 3000.0
#: What was read longer ago than this is neither passed on nor kept.
_EXPIRY_MS: Final = 600_000.0
#: Number of servers whose limits are kept.
_MAX_SERVERS: Final = 4096
#: A server that takes no requests would never be asked whether it still takes
#: none.
_MIN_PER_S: Final = 0.25


@final
class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """What a VM knows of a server's limit.

    :ivar started_ms: Unix time of the server's start in milliseconds.
    :ivar per_s: requests a second, 0 if the server no longer has a limit.
    :ivar age_ms: time since a reply of the server said so.
    """

    server: str
    started_ms: int
    per_s: float
    age_ms: int


@final
@dataclass(slots=True)
class _Known:
    """Newest statement of a server.

    :ivar per_s: requests a second, 0 if it has no limit.
    :ivar said_ms: time of the reply, by this VM's clock.
    :ivar changed_ms: time at which this VM learned of the last change.
    """

    per_s: float
    said_ms: float
    changed_ms: float


@final
class ServerLimits:  # noqa: WPS214 -- short methods on one table
    """Newest known limit of each server, from replies and from other VMs.

    :ivar on_change: called with the server and its limit, 0 for none, and
        whether a reply to this VM showed the change.
    """

    def __init__(self) -> None:
        """Create a table without limits."""
        self.on_change: Callable[[ServerStart, float, bool], None] = _ignore
        self._known: OrderedDict[ServerStart, _Known] = OrderedDict()

    def per_s(self, record: ServerRecord) -> float:
        """Return the limit of a server in requests a second, 0 for none."""
        known = self._known.get((record.server, record.started_ms))
        return known.per_s if known else 0

    def observe_limit(
        self, record: ServerRecord, per_s: float, now_ms: float
    ) -> None:
        """Record a limit that a reply of the server names.

        One that is not a number neither sets nor ends a limit.
        """
        if math.isnan(per_s):
            return
        start = (record.server, record.started_ms)
        self._record(start, max(_MIN_PER_S, per_s), now_ms, now_ms)

    def observe_no_limit(
        self, record: ServerRecord, sent_ms: float, now_ms: float
    ) -> None:
        """Record that a successful reply names no limit.

        :param sent_ms: time at which the request was sent; a reply to an
            earlier one than that with the limit does not end the limit.
        """
        start = (record.server, record.started_ms)
        known = self._known.get(start)
        if known is not None and known.per_s and sent_ms > known.said_ms:
            self._record(start, 0, now_ms, now_ms)

    def report(self, start: ServerStart, now_ms: float) -> LimitReport | None:
        """Return what is known of a server, ``None`` if nothing is."""
        known = self._known.get(start)
        if known is None:
            return None
        age_ms = max(0, int(now_ms - known.said_ms))
        return LimitReport(start[0], start[1], known.per_s, age_ms)

    def report_or_unstated(
        self, start: ServerStart, now_ms: float
    ) -> LimitReport:
        """Return what is known of a server, or a report too old to be used."""
        return self.report(start, now_ms) or LimitReport(
            start[0], start[1], 0, int(_EXPIRY_MS) + 1
        )

    def choose_reports(
        self, now_ms: float, random: Random
    ) -> list[LimitReport]:
        """Choose what the next message to another VM says of limits."""
        recent = self._list_since(now_ms, _NEWS_MS)
        chosen = random.sample(recent, min(_MAX_REPORTED, len(recent)))
        others = [each for each in self._known if each not in recent]
        left = min(_MAX_REPORTED - len(chosen), len(others))
        chosen += random.sample(others, left)
        reports = (self.report(start, now_ms) for start in chosen)
        return [report for report in reports if report is not None]

    def apply_reports(
        self, reports: Iterable[LimitReport], now_ms: float
    ) -> None:
        """Record what another VM knows, as far as it is newer."""
        for report in reports:
            if report.age_ms > _EXPIRY_MS:
                continue
            start = (ServerId(report.server), report.started_ms)
            said_ms = now_ms - report.age_ms
            known = self._known.get(start)
            if known is None or said_ms > known.said_ms:
                self._record(start, report.per_s, said_ms, now_ms, is_own=False)

    def _list_since(self, now_ms: float, age_ms: float) -> list[ServerStart]:
        """List the servers whose limits changed within a time."""
        return [
            start
            for start, known in self._known.items()
            if now_ms - known.changed_ms < age_ms
        ]

    def _record(
        self,
        start: ServerStart,
        per_s: float,
        said_ms: float,
        now_ms: float,
        *,
        is_own: bool = True,
    ) -> None:
        known = self._known.get(start)
        if known is None:
            known = self._known.setdefault(start, _Known(0, said_ms, now_ms))
            self._evict(now_ms)
        known.said_ms = said_ms
        self._known.move_to_end(start)
        if per_s != known.per_s:
            known.per_s = per_s
            known.changed_ms = now_ms
            self.on_change(start, per_s, is_own)

    def _evict(self, now_ms: float) -> None:
        """Drop what is too old; the entries are in the order of their news."""
        while self._known:
            start, oldest = next(iter(self._known.items()))
            is_old = now_ms - oldest.said_ms > _EXPIRY_MS
            if not is_old and len(self._known) <= _MAX_SERVERS:
                return
            self._known.popitem(last=False)
            if oldest.per_s:
                self.on_change(start, 0, False)


def _ignore(
    start: ServerStart,
    per_s: float,
    is_own: bool,  # noqa: FBT001 -- a callback
) -> None:
    """Ignore a change; used until ``on_change`` is set."""
