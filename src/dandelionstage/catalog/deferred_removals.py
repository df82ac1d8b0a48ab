"""Delayed removal of entries that expired during an outage of the store."""

from collections.abc import Iterable
from typing import Final, final

from .catalog import CatalogItem
from .positions import StoreRevision

__all__ = ('DeferredRemovals',)

#: How long removals are deferred after an outage of the store has ended.  The
#: platform states that entries which expired during the outage are restored
#: within about 2 s of its end; the rest is propagation time.
_DEFERRAL_MS: Final = 2300.0


@final
class DeferredRemovals:
    """Delays removals that arrive shortly after an outage of the store.

    A server cannot renew its entry during an outage, so the entry may expire
    although the server works.  If the store fails again before the server has
    written its entry, all removals wait for the end of that outage too.
    """

    def __init__(self) -> None:
        """Create an instance that defers nothing."""
        self._deferred: dict[str, CatalogItem] = {}
        self._defer_until_ms = float('-inf')

    def __len__(self) -> int:
        """Return the number of deferred removals."""
        return len(self._deferred)

    def start_deferring(self, now_ms: float) -> None:
        """Start the period of deferral, as an outage of the store has ended."""
        until_ms = now_ms + _DEFERRAL_MS
        self._defer_until_ms = max(self._defer_until_ms, until_ms)

    def filter_items(
        self, items: Iterable[CatalogItem], now_ms: float
    ) -> list[CatalogItem]:
        """Return the items to apply now and keep the removals to be deferred.

        An item that restores an entry cancels its deferred removal.
        """
        to_apply: list[CatalogItem] = []
        for item in items:
            is_removal = item.raw is None
            if is_removal and now_ms < self._defer_until_ms:
                self._deferred.setdefault(item.key, item)
                continue
            if not is_removal:
                self._deferred.pop(item.key, None)
            to_apply.append(item)
        return to_apply

    def pop_due(self, now_ms: float) -> list[CatalogItem]:
        """Return the deferred removals if due and stop tracking them.

        :param now_ms: when the store has answered this VM.
        """
        if now_ms < self._defer_until_ms:
            return []
        due = list(self._deferred.values())
        self._deferred.clear()
        return due

    def revision_before_deferred(
        self, position: StoreRevision
    ) -> StoreRevision:
        """Return the latest revision that precedes every deferred removal.

        The catalog is complete only up to this revision, so other VMs do not
        miss a removal that is applied later.

        :param position: store revision read so far, returned if nothing is
            deferred.
        """
        first = min(
            (item.revision for item in self._deferred.values()),
            default=position + 1,
        )
        return StoreRevision(min(position, first - 1))

    def next_due_ms(self) -> float | None:
        """Return when the deferred removals are due, ``None`` if none."""
        return self._defer_until_ms if self._deferred else None
