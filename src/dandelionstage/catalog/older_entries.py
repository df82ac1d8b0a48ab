"""Older entries that a restored store keeps.

Load pattern: the store comes back from a copy and lists servers again that had
been removed since.  The entry of a server that is gone expires, as nobody
renews it; that of a server that lives stays.
"""

from collections.abc import Iterable
from typing import final

from .catalog import CatalogItem

__all__ = ('OlderEntries',)


@final
class OlderEntries:
    """Tells which older entries the store has kept for longer than they last.

    :ivar expiry_ms: time after which the entry of a server that is gone has
        certainly expired.
    """

    def __init__(self, expiry_ms: float) -> None:
        """Create an instance that has seen no entries."""
        self.expiry_ms = expiry_ms
        self._seen: dict[CatalogItem, float] = {}

    def list_kept(
        self, entries: Iterable[CatalogItem], now_ms: float
    ) -> list[CatalogItem]:
        """List the entries that were seen longer ago than they last.

        :param entries: all older entries that the store has now.
        """
        self._seen = {entry: self._seen.get(entry, now_ms) for entry in entries}
        return [
            entry
            for entry, seen_ms in self._seen.items()
            if now_ms - seen_ms >= self.expiry_ms
        ]
