"""Servers that have announced in their replies that they are leaving."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from typing import Final, final

from .servers import ServerId, ServerRecord, ServerStart, ServerState

__all__ = ('LeavingServers',)

#: Maximum number of servers in one message, so that it fits into one packet.
_MAX_REPORTED: Final = 12
#: Number of servers that are remembered.
_MAX_SERVERS: Final = 4096


@final
class LeavingServers:
    """Starts of servers that take no new work although they are listed.

    Load pattern: a server leaves while its entry in the store is old, or
    cannot be written or read.  It says so in every reply, of which each VM gets
    a few, and the VMs tell each other.  A start of a server never takes new
    work again, so what is known here outweighs its entry, whichever source
    passes that on.  Only a later start of the server is not affected.

    :ivar on_told: called with a server of which this VM learns from another.
    """

    def __init__(self) -> None:
        """Create an instance that knows of no server."""
        self.on_told: Callable[[ServerStart], None] = _ignore
        self._starts: OrderedDict[ServerStart, None] = OrderedDict()

    def __contains__(self, start: ServerStart) -> bool:
        """Whether a start of a server is leaving."""
        return start in self._starts

    def add(self, start: ServerStart) -> bool:
        """Record a server that is leaving; return whether that is new."""
        if start in self._starts:
            return False
        self._starts[start] = None
        if len(self._starts) > _MAX_SERVERS:
            self._starts.popitem(last=False)
        return True

    def apply_reports(self, reports: Iterable[tuple[str, int]]) -> None:
        """Record what another VM knows.

        :param reports: id and start of each server.
        """
        for server, started_ms in reports:
            start = (ServerId(server), started_ms)
            if self.add(start):
                self.on_told(start)

    def applied_to(self, record: ServerRecord) -> ServerRecord:
        """Return a published record with the state that the server has."""
        if record.start in self._starts:
            return replace(record, state=ServerState.DRAINING)
        return record

    def choose_reports(
        self, servers: dict[ServerId, ServerRecord], random: Random
    ) -> list[ServerStart]:
        """Choose what the next message to another VM says of them.

        :param servers: servers that are listed; what is said of others would
            not change anything.
        """
        reported = self._list_still_listed(servers)
        return random.sample(reported, min(_MAX_REPORTED, len(reported)))

    def _list_still_listed(
        self, servers: dict[ServerId, ServerRecord]
    ) -> list[ServerStart]:
        return [
            start
            for start in self._starts
            if _is_listed(servers.get(start[0]), start)
        ]


def _ignore(start: ServerStart) -> None:
    """Ignore a server; used until ``on_told`` is set."""


def _is_listed(record: ServerRecord | None, start: ServerStart) -> bool:
    return (
        record is not None
        and record.start == start
        and record.state is ServerState.LIVE
    )
